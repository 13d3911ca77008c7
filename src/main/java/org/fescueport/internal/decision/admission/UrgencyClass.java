package org.fescueport.internal.decision.admission;

import org.fescueport.internal.decision.share.DecayingRate;

/** The requests of one urgency at one pool: the queue, and how many were sent recently. */
final class UrgencyClass {
    private static final double RATE_TIME_CONSTANT_SECONDS = 2;

    /** Weight of a new duration in the moving averages. */
    private static final double SMOOTHING = 0.1;

    final FairQueue mQueue = new FairQueue();
    private final DecayingRate mOffered;
    private final DecayingRate mSent;
    private double mFirstByteNanos;
    private double mDeviationNanos;
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
        mDeviationNanos += SMOOTHING * (Math.abs(nanos - mFirstByteNanos) - mDeviationNanos);
        mFirstByteNanos += SMOOTHING * (nanos - mFirstByteNanos);
    }

    void onEnded(long nanos) {
        mServiceTimeNanos += SMOOTHING * (nanos - mServiceTimeNanos);
    }

    /** Returns the expected time from sending a request to the first byte of its response. */
    long firstByteNanos() {
        return (long) mFirstByteNanos;
    }

    /** Returns the mean deviation from {@link #firstByteNanos}. */
    long firstByteDeviationNanos() {
        return (long) mDeviationNanos;
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
