package org.fescueport.internal.decision.lease;

/**
 * Computes until when a holder may use a lease and from when another node may claim it.
 *
 * <p>The holder measures the duration from before it sent the append, and stops early. A claimant
 * measures it from when it read the record, and waits longer. Both allow for clocks that run up to
 * {@code driftPpm} fast or slow.
 *
 * @param durationMillis how long a lease lasts from when its record is appended
 * @param marginMillis subtracted by the holder and added by a claimant, to cover the time between a
 *     check and the action that it permits
 * @param driftPpm the largest error of a clock's rate, in parts per million
 */
public record LeaseTiming(long durationMillis, long marginMillis, long driftPpm) {
    /** A lease of 10 s with a margin of 500 ms, for clocks with an error of up to 200 ppm. */
    public static final LeaseTiming DEFAULT = new LeaseTiming(10_000, 500, 200);

    private static final long MILLION = 1_000_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int RENEWALS_PER_LEASE = 3;

    /**
     * Returns the instant at which the holder must stop using the lease.
     *
     * @param sentAtNanos when the holder sent the append of its last accepted record
     */
    long heldUntilNanos(long sentAtNanos) {
        var duration = durationMillis * NANOS_PER_MILLI;
        return sentAtNanos + duration - maxDriftNanos(duration) - marginMillis * NANOS_PER_MILLI;
    }

    /**
     * Returns the first instant at which another node may claim the lease.
     *
     * @param readAtNanos when that node read the lease's last accepted record
     * @param leaseMillis the duration in that record
     */
    long claimableFromNanos(long readAtNanos, long leaseMillis) {
        var duration = leaseMillis * NANOS_PER_MILLI;
        return readAtNanos + duration + maxDriftNanos(duration) + marginMillis * NANOS_PER_MILLI;
    }

    /** Returns when the holder renews the lease: after a third of its duration. */
    long renewAtNanos(long sentAtNanos) {
        return sentAtNanos + durationMillis * NANOS_PER_MILLI / RENEWALS_PER_LEASE;
    }

    private long maxDriftNanos(long nanos) {
        return nanos / MILLION * driftPpm + nanos % MILLION * driftPpm / MILLION;
    }
}
