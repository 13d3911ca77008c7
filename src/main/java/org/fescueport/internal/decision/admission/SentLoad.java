package org.fescueport.internal.decision.admission;

/**
 * What one node has at the replicas of a pool.
 *
 * @param inFlight requests that were sent and have not ended
 * @param awaiting those of them whose response has not begun and is not long overdue
 */
record SentLoad(int inFlight, int awaiting) {}
