/** The long randomised run: a seeded plan of faults, callers that check their answers, an audit. */
package org.fescueport.internal.load.soak;
