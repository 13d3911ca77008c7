package org.fescueport.internal.decision.share;

/** Recent rate of events, in which older events count exponentially less. */
public final class DecayingRate {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double mTimeConstantNanos;
    private double mCount;
    private long mUpdatedNanos;

    /**
     * Creates a rate without any events.
     *
     * @param timeConstantSeconds time in seconds after which an event counts for 1/e
     */
    public DecayingRate(double timeConstantSeconds, long nowNanos) {
        mTimeConstantNanos = timeConstantSeconds * NANOS_PER_SECOND;
        mUpdatedNanos = nowNanos;
    }

    /** Counts one event. */
    public void add(long nowNanos) {
        mCount = count(nowNanos) + 1;
        mUpdatedNanos = nowNanos;
    }

    /** Returns the number of events, each with its decayed weight. */
    public double count(long nowNanos) {
        return mCount * Math.exp(-Math.max(0, nowNanos - mUpdatedNanos) / mTimeConstantNanos);
    }

    /** Returns the number of events per second. */
    public double perSecond(long nowNanos) {
        return count(nowNanos) * NANOS_PER_SECOND / mTimeConstantNanos;
    }
}
