package org.fescueport.internal.decision.admission;

/** How often something happened a second lately; older events count exponentially less. */
final class DecayingRate {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double mTimeConstantNanos;
    private double mCount;
    private long mUpdatedNanos;

    /**
     * Makes a rate of nothing.
     *
     * @param timeConstantSeconds time after which an event counts for 1/e
     */
    DecayingRate(double timeConstantSeconds, long nowNanos) {
        mTimeConstantNanos = timeConstantSeconds * NANOS_PER_SECOND;
        mUpdatedNanos = nowNanos;
    }

    void add(long nowNanos) {
        mCount = count(nowNanos) + 1;
        mUpdatedNanos = nowNanos;
    }

    /** Returns the weighted number of events. */
    double count(long nowNanos) {
        return mCount * Math.exp(-Math.max(0, nowNanos - mUpdatedNanos) / mTimeConstantNanos);
    }

    /** Returns events a second. */
    double perSecond(long nowNanos) {
        return count(nowNanos) * NANOS_PER_SECOND / mTimeConstantNanos;
    }
}
