package org.fescueport.internal.decision.lease;

/**
 * When a holder stops and when a claimant may start.
 *
 * <p>The holder counts from before its append was sent and stops early; a claimant counts from when
 * it read the record and waits longer. Both allow for clocks that run {@code driftPpm} fast or
 * slow.
 *
 * @param marginMillis added on both sides, for the time between a check and what it allows
 */
public record LeaseTiming(long durationMillis, long marginMillis, long driftPpm) {
    /** A lease of 10 s, for clocks within 200 parts per million of the true rate. */
    public static final LeaseTiming DEFAULT = new LeaseTiming(10_000, 500, 200);

    private static final long MILLION = 1_000_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int RENEWALS_PER_LEASE = 3;

    /** Returns the holder's last instant, for a record whose append was sent at this one. */
    long heldUntilNanos(long sentAtNanos) {
        var duration = durationMillis * NANOS_PER_MILLI;
        return sentAtNanos + duration - maxDriftNanos(duration) - marginMillis * NANOS_PER_MILLI;
    }

    /** Returns the first instant to claim a lease whose last record was read at this one. */
    long claimableFromNanos(long readAtNanos, long leaseMillis) {
        var duration = leaseMillis * NANOS_PER_MILLI;
        return readAtNanos + duration + maxDriftNanos(duration) + marginMillis * NANOS_PER_MILLI;
    }

    /** Returns when a holder renews. */
    long renewAtNanos(long sentAtNanos) {
        return sentAtNanos + durationMillis * NANOS_PER_MILLI / RENEWALS_PER_LEASE;
    }

    private long maxDriftNanos(long nanos) {
        return nanos / MILLION * driftPpm + nanos % MILLION * driftPpm / MILLION;
    }
}
