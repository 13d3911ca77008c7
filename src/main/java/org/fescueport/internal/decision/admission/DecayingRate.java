package org.fescueport.internal.decision.admission;

/** How often something happened a second lately; older events count exponentially less. */
final class DecayingRate {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double mMemoryNanos;
    private double mCount;
    private long mAtNanos;

    /**
     * Makes a rate of nothing.
     *
     * @param memorySeconds time after which an event counts for 1/e
     */
    DecayingRate(double memorySeconds, long nowNanos) {
        mMemoryNanos = memorySeconds * NANOS_PER_SECOND;
        mAtNanos = nowNanos;
    }

    void add(long nowNanos) {
        mCount = count(nowNanos) + 1;
        mAtNanos = nowNanos;
    }

    /** Returns the weighted number of events. */
    double count(long nowNanos) {
        return mCount * Math.exp(-Math.max(0, nowNanos - mAtNanos) / mMemoryNanos);
    }

    /** Returns events a second. */
    double perSecond(long nowNanos) {
        return count(nowNanos) * NANOS_PER_SECOND / mMemoryNanos;
    }
}
