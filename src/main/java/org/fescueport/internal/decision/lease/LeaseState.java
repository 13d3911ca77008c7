package org.fescueport.internal.decision.lease;

/**
 * A lease as the log has it.
 *
 * @param token fencing token: the offset at which this holder's tenure began
 * @param last offset of the last accepted record, which the next one must name
 * @param appendedAtMillis when that record was appended, by the log's clock
 * @param durationMillis how long it lasts from then; 0 when it was given back
 */
public record LeaseState(
        LeaseHolder holder, long token, long last, long appendedAtMillis, long durationMillis) {
    /** Returns whether the lease has ended at this time of the log's clock. */
    boolean hasExpired(long logMillis) {
        return logMillis - appendedAtMillis >= durationMillis;
    }
}
