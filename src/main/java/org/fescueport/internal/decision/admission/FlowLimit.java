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
final class FlowLimit {
    /** Weight of an answer that came too late beside what was known before. */
    private static final double SMOOTHING_DOWN = 0.2;

    /** The same of one that came in time; room is taken up more slowly than given back. */
    private static final double SMOOTHING_UP = 0.05;

    /** Factors beyond these come from a moment, not from the load. */
    private static final double LEAST_FACTOR = 0.4;

    private static final double LARGEST_FACTOR = 1.25;

    /** What a refusal says of a replica. */
    private static final double FULL_FACTOR = 0.6;

    /** Part of the objective within which a replica that is not overloaded answers. */
    static final double ANSWER_PART = 0.65;

    /** Part of an equal share of all slots that each node may use in any case. */
    private static final double FLOOR_PART = 0.4;

    /** Without a limit again once answers come this much sooner than they need to, on average. */
    private static final double CALM_FACTOR = 1.2;

    /** The same, once no more than this part of the limit is used. */
    private static final double CALM_PART = 0.6;

    /** Requests at the replicas beside their slots, so that a free slot is filled at once. */
    private static final double MOST_FILL = 1.1;

    /** Spreads the parts of one evenly, whatever number of them is looked at. */
    private static final double DITHER_STEP = 0.618033988749895;

    /** Part of the room that late work may use, so that it does not fill what opens at once. */
    private static final double LATE_PART = 0.8;

    private final Mechanisms mMechanisms;
    private double mLimit = Double.POSITIVE_INFINITY;
    private double mFactor = LARGEST_FACTOR;
    private double mFloor = 1;
    private double mFill;
    private double mFillOfOne;
    private double mDither;

    FlowLimit(Mechanisms mechanisms) {
        mMechanisms = mechanisms;
    }

    /** Takes in the slots of all replicas and how many nodes there are. */
    void onFleet(double slots, int nodes) {
        mFloor = Math.max(1, FLOOR_PART * slots / nodes);
        mFillOfOne = nodes / Math.max(1, slots);
    }

    /** Takes in how many requests the replicas hold for each of their slots. */
    void onFill(double heldPerSlot) {
        mFill = mMechanisms.isEnabled(Mechanism.TOLD_LOAD_LIMIT) ? heldPerSlot : 0;
    }

    /** Takes in the time that a replica took to begin its answer. */
    void onAnswerTime(long nanos, long objectiveNanos, int inFlight, boolean waits) {
        apply(ANSWER_PART * objectiveNanos / Math.max(1, nanos), inFlight, waits);
    }

    /** Notes that a replica had no room. */
    void onFull(int inFlight) {
        apply(FULL_FACTOR, inFlight, true);
    }

    /** Returns whether there is a limit for now. */
    boolean isSet() {
        return mLimit != Double.POSITIVE_INFINITY || mFill >= MOST_FILL;
    }

    /** Returns whether one request more may be sent. */
    boolean admits(int inFlight) {
        if (inFlight + 1 <= mFloor) {
            return true;
        }
        return inFlight + 1 <= Math.max(mFloor, mLimit) + mDither && mFill < MOST_FILL;
    }

    /** Notes a request that is sent; the other nodes will have sent one too. */
    void onSent() {
        if (mFill > 0) {
            mFill += mFillOfOne;
        }
    }

    /** Notes the end of a request; what the limit has behind the point counts now and then. */
    void onEnded() {
        mDither = (mDither + DITHER_STEP) % 1;
    }

    /** Returns whether there is so much room that late work takes none from what is in time. */
    boolean admitsLate(int inFlight) {
        return inFlight < LATE_PART * Math.max(mFloor, mLimit) && mFill < LATE_PART * MOST_FILL;
    }

    private void apply(double told, int inFlight, boolean waits) {
        if (!mMechanisms.isEnabled(Mechanism.ANSWER_TIME_LIMIT)) {
            return;
        }
        double factor = Math.clamp(told, LEAST_FACTOR, LARGEST_FACTOR);
        double weight = factor < 1 ? SMOOTHING_DOWN : SMOOTHING_UP;
        mFactor += weight * (factor - mFactor);
        if (mLimit == Double.POSITIVE_INFINITY) {
            mLimit = mFactor < 1 ? Math.max(mFloor, inFlight * mFactor) : mLimit;
            return;
        }
        if (!waits && mFactor > CALM_FACTOR && inFlight < CALM_PART * mLimit) {
            mLimit = Double.POSITIVE_INFINITY;
            return;
        }
        boolean unused = factor > 1 && inFlight < mLimit - 1;
        if (!unused) {
            mLimit = Math.max(mFloor, mLimit + weight * (inFlight * factor - mLimit));
        }
    }
}
