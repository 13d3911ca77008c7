package org.fescueport.internal.decision.admission;

/** The requests of one urgency at one pool: the queue, and how many were sent recently. */
final class UrgencyClass {
    private static final double RATE_TIME_CONSTANT_SECONDS = 2;

    /** Weight of a new duration in the moving averages. */
    private static final double SMOOTHING = 0.1;

    final FairQueue mQueue = new FairQueue();
    private final DecayingRate mOffered;
    private final DecayingRate mSent;
    private double mFirstByteNanos;
    private double mServiceTimeNanos;

    UrgencyClass(long nowNanos) {
        mOffered = new DecayingRate(RATE_TIME_CONSTANT_SECONDS, nowNanos);
        mSent = new DecayingRate(RATE_TIME_CONSTANT_SECONDS, nowNanos);
    }

    void onOffered(long nowNanos) {
        mOffered.add(nowNanos);
    }

    void onSent(long nowNanos) {
        mSent.add(nowNanos);
    }

    void onFirstByte(long nanos) {
        mFirstByteNanos += SMOOTHING * (nanos - mFirstByteNanos);
    }

    void onEnded(long nanos) {
        mServiceTimeNanos += SMOOTHING * (nanos - mServiceTimeNanos);
    }

    /** Returns the expected time from sending a request to the first byte of its response. */
    long firstByteNanos() {
        return (long) mFirstByteNanos;
    }

    /** Returns the expected time from sending a request to its end. */
    long serviceTimeNanos() {
        return (long) mServiceTimeNanos;
    }

    /** Returns the fraction of the recently offered requests that was sent. */
    double sentFraction(long nowNanos) {
        return mSent.count(nowNanos) / Math.max(1, mOffered.count(nowNanos));
    }

    /** Returns the number of requests offered per second. */
    double offeredPerSecond(long nowNanos) {
        return mOffered.perSecond(nowNanos);
    }
}
