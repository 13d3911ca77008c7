package org.fescueport.internal.decision.admission;

import org.fescueport.internal.decision.Mechanism;
import org.fescueport.internal.decision.Mechanisms;

/**
 * How many requests this node may have at the replicas of a pool at once.
 *
 * <p>Answers many nodes that send to the same replicas and know nothing of one another: each answer
 * tells by its time whether the replicas hold more, or less, than they can begin in time. Every
 * node scales what it has in flight by the same factors, so the sum of all meets what the replicas
 * can do, whatever each node's share of the callers is. What replicas tell of their load counts
 * before that, as a sudden load shows in answers only later. While replicas have room there is no
 * limit. Not safe for use by several threads.
 */
final class ConcurrencyLimit {
    /** Weight of an answer that came too late beside what was known before. */
    private static final double DECREASE_SMOOTHING = 0.2;

    /** The same of one that came in time; room is taken up more slowly than given back. */
    private static final double INCREASE_SMOOTHING = 0.05;

    /** Factors beyond these come from a moment, not from the load. */
    private static final double MIN_FACTOR = 0.4;

    private static final double MAX_FACTOR = 1.25;

    /** What a refusal says of a replica. */
    private static final double REJECTION_FACTOR = 0.6;

    /** Part of the objective within which a replica that is not overloaded answers. */
    static final double FIRST_BYTE_FRACTION = 0.65;

    /** Part of an equal share of all slots that each node may use in any case. */
    private static final double MIN_LIMIT_FRACTION = 0.4;

    /** Without a limit again once answers come this much sooner than they need to, on average. */
    private static final double LIFT_FACTOR = 1.2;

    /** The same, once no more than this part of the limit is used. */
    private static final double LIFT_UTILIZATION = 0.6;

    /** Requests at the replicas beside their slots, so that a free slot is filled at once. */
    private static final double MAX_OCCUPANCY = 1.1;

    /** Spreads the parts of one evenly, whatever number of them is looked at. */
    private static final double DITHER_STEP = 0.618033988749895;

    /** Part of the room that late work may use, so that it does not fill what opens at once. */
    private static final double LATE_FRACTION = 0.8;

    private final Mechanisms mMechanisms;
    private double mLimit = Double.POSITIVE_INFINITY;
    private double mMeanFactor = MAX_FACTOR;
    private double mMinLimit = 1;
    private double mOccupancy;
    private double mOccupancyPerRequest;
    private double mDither;

    ConcurrencyLimit(Mechanisms mechanisms) {
        mMechanisms = mechanisms;
    }

    /** Takes in the slots of all replicas and how many nodes there are. */
    void onCapacity(double slots, int nodes) {
        mMinLimit = Math.max(1, MIN_LIMIT_FRACTION * slots / nodes);
        mOccupancyPerRequest = nodes / Math.max(1, slots);
    }

    /** Takes in how many requests the replicas hold for each of their slots. */
    void onOccupancy(double requestsPerSlot) {
        mOccupancy = mMechanisms.isEnabled(Mechanism.TOLD_LOAD_LIMIT) ? requestsPerSlot : 0;
    }

    /** Takes in the time that a replica took to begin its answer. */
    void onFirstByte(long firstByteNanos, long objectiveNanos, int inFlight, boolean hasQueued) {
        update(
                FIRST_BYTE_FRACTION * objectiveNanos / Math.max(1, firstByteNanos),
                inFlight,
                hasQueued);
    }

    /** Notes that a replica had no room. */
    void onReplicaFull(int inFlight) {
        update(REJECTION_FACTOR, inFlight, true);
    }

    /** Returns whether there is a limit for now. */
    boolean isActive() {
        return mLimit != Double.POSITIVE_INFINITY || mOccupancy >= MAX_OCCUPANCY;
    }

    /** Returns whether one request more may be sent. */
    boolean admits(int inFlight) {
        if (inFlight + 1 <= mMinLimit) {
            return true;
        }
        return inFlight + 1 <= Math.max(mMinLimit, mLimit) + mDither && mOccupancy < MAX_OCCUPANCY;
    }

    /** Notes a request that is sent; the other nodes will have sent one too. */
    void onSent() {
        if (mOccupancy > 0) {
            mOccupancy += mOccupancyPerRequest;
        }
    }

    /** Notes the end of a request; what the limit has behind the point counts now and then. */
    void onEnded() {
        mDither = (mDither + DITHER_STEP) % 1;
    }

    /** Returns whether there is so much room that late work takes none from what is in time. */
    boolean admitsLate(int inFlight) {
        return inFlight < LATE_FRACTION * Math.max(mMinLimit, mLimit)
                && mOccupancy < LATE_FRACTION * MAX_OCCUPANCY;
    }

    private void update(double sample, int inFlight, boolean hasQueued) {
        if (!mMechanisms.isEnabled(Mechanism.ANSWER_TIME_LIMIT)) {
            return;
        }
        double factor = Math.clamp(sample, MIN_FACTOR, MAX_FACTOR);
        double weight = factor < 1 ? DECREASE_SMOOTHING : INCREASE_SMOOTHING;
        mMeanFactor += weight * (factor - mMeanFactor);
        if (mLimit == Double.POSITIVE_INFINITY) {
            mLimit = mMeanFactor < 1 ? Math.max(mMinLimit, inFlight * mMeanFactor) : mLimit;
            return;
        }
        if (!hasQueued && mMeanFactor > LIFT_FACTOR && inFlight < LIFT_UTILIZATION * mLimit) {
            mLimit = Double.POSITIVE_INFINITY;
            return;
        }
        boolean hasHeadroom = factor > 1 && inFlight < mLimit - 1;
        if (!hasHeadroom) {
            mLimit = Math.max(mMinLimit, mLimit + weight * (inFlight * factor - mLimit));
        }
    }
}
