package org.fescueport.internal.decision.admission;

/** The requests of one urgency at one pool: who waits, and how many were sent lately. */
final class UrgencyClass {
    private static final double MEMORY_SECONDS = 2;

    /** Weight of one time beside those before. */
    private static final double SMOOTHING = 0.1;

    final FairQueue mQueue = new FairQueue();
    private final DecayingRate mOffered;
    private final DecayingRate mSent;
    private double mFirstPieceNanos;
    private double mServiceNanos;

    UrgencyClass(long nowNanos) {
        mOffered = new DecayingRate(MEMORY_SECONDS, nowNanos);
        mSent = new DecayingRate(MEMORY_SECONDS, nowNanos);
    }

    void onOffered(long nowNanos) {
        mOffered.add(nowNanos);
    }

    void onSent(long nowNanos) {
        mSent.add(nowNanos);
    }

    void onFirstPiece(long nanos) {
        mFirstPieceNanos += SMOOTHING * (nanos - mFirstPieceNanos);
    }

    void onEnded(long nanos) {
        mServiceNanos += SMOOTHING * (nanos - mServiceNanos);
    }

    /** Returns the time from sending to the first piece that is to be expected. */
    long firstPieceNanos() {
        return (long) mFirstPieceNanos;
    }

    /** Returns the time from sending to the end that is to be expected. */
    long serviceNanos() {
        return (long) mServiceNanos;
    }

    /** Returns which part of the requests was sent lately. */
    double sentPart(long nowNanos) {
        return mSent.count(nowNanos) / Math.max(1, mOffered.count(nowNanos));
    }

    /** Returns requests offered a second. */
    double offeredPerSecond(long nowNanos) {
        return mOffered.perSecond(nowNanos);
    }
}
