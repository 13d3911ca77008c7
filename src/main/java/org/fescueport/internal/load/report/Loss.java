package org.fescueport.internal.load.report;

/**
 * What running cost.
 *
 * @param what was paid for
 * @param worth that it took, as part of the day's whole worth
 */
record Loss(String what, double worth) {}
