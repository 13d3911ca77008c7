package org.fescueport.internal.decision.lease;

/**
 * The state of a lease.
 *
 * @param holder the node that last claimed, renewed or released the lease
 * @param token the fencing token: the offset of the record with which the holder's term began
 * @param last the offset of the last accepted record, which the next claim must name as its base
 * @param appendedAtMillis the time at which that record was appended, by the log's clock
 * @param durationMillis how long the lease lasts from that time; 0 if it was released
 */
public record LeaseState(
        LeaseHolder holder, long token, long last, long appendedAtMillis, long durationMillis) {
    /** Returns whether the lease has expired at this time of the log's clock. */
    boolean hasExpired(long logMillis) {
        return logMillis - appendedAtMillis >= durationMillis;
    }
}
