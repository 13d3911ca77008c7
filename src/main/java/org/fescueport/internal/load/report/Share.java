package org.fescueport.internal.load.report;

/**
 * How well one part of the callers was served.
 *
 * @param name of the class, zone or time window
 * @param worth served of what was asked for, 0 to 1
 */
record Share(String name, double worth) {}
