package org.fescueport.internal.decision.admission;

/** The requests of one urgency at one pool: who waits, and how many were sent lately. */
final class UrgencyClass {
    private static final double RATE_TIME_CONSTANT_SECONDS = 2;

    /** Weight of one time beside those before. */
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

    /** Returns the time from sending to the first piece that is to be expected. */
    long firstByteNanos() {
        return (long) mFirstByteNanos;
    }

    /** Returns the time from sending to the end that is to be expected. */
    long serviceTimeNanos() {
        return (long) mServiceTimeNanos;
    }

    /** Returns which part of the requests was sent lately. */
    double sentFraction(long nowNanos) {
        return mSent.count(nowNanos) / Math.max(1, mOffered.count(nowNanos));
    }

    /** Returns requests offered a second. */
    double offeredPerSecond(long nowNanos) {
        return mOffered.perSecond(nowNanos);
    }
}
