package org.fescueport.internal.decision.admission;

import org.fescueport.internal.decision.Mechanism;
import org.fescueport.internal.decision.Mechanisms;

/**
 * Adaptive limit on the number of requests that this node has in flight to the replicas of a pool.
 *
 * <p>Many nodes send to the same replicas without knowing of one another. The time to the first
 * byte of each response shows whether the replicas have more or fewer requests in flight than they
 * can begin in time. Every node scales its number of requests in flight by the same factors, so the
 * sum over all nodes approaches what the replicas can handle, whatever each node's share of the
 * callers is. The load that replicas report takes effect before that, as a sudden load shows in the
 * response times only later. While the replicas have capacity, there is no limit. This class is not
 * thread-safe.
 */
final class FlowLimit implements SendLimit {
    /** Weight of a new sample in the moving averages, if the response came too late. */
    private static final double DECREASE_SMOOTHING = 0.2;

    /**
     * Weight of a new sample if the response came in time. It is smaller, so that the limit rises
     * more slowly than it falls.
     */
    private static final double INCREASE_SMOOTHING = 0.05;

    /**
     * Lower bound of a single sample; values beyond this and {@link #MAX_FACTOR} are caused by
     * momentary effects, not by the load.
     */
    private static final double MIN_FACTOR = 0.4;

    private static final double MAX_FACTOR = 1.25;

    /** Sample for a request that a replica refused for lack of capacity. */
    private static final double REJECTION_FACTOR = 0.6;

    /**
     * Fraction of the latency objective within which a replica that is not overloaded sends the
     * first byte.
     */
    private static final double FIRST_BYTE_FRACTION = 0.65;

    /** Fraction of an equal share of all slots that each node may use regardless of the limit. */
    private static final double MIN_LIMIT_FRACTION = 0.4;

    /**
     * Factor by which responses must, on average, come sooner than they need to for the limit to be
     * lifted.
     */
    private static final double LIFT_FACTOR = 1.2;

    /** Fraction of the limit below which the requests in flight must be for it to be lifted. */
    private static final double LIFT_UTILIZATION = 0.6;

    /**
     * Requests that may be in flight at the replicas per slot; more than one, so that a slot that
     * becomes free is filled at once.
     */
    private static final double MAX_OCCUPANCY = 1.1;

    /**
     * Step of the dither modulo one: the inverse golden ratio, which spreads any number of
     * successive values evenly.
     */
    private static final double DITHER_STEP = 0.618033988749895;

    /**
     * Fraction of the limit and of the maximum occupancy that late requests may use, so that they
     * do not immediately take all the capacity that becomes free.
     */
    private static final double LATE_FRACTION = 0.8;

    private final Mechanisms mMechanisms;
    private double mLimit = Double.POSITIVE_INFINITY;
    private double mMeanFactor = MAX_FACTOR;
    private double mMinLimit = 1;
    private double mOccupancy;
    private double mOccupancyPerRequest;
    private double mDither;

    FlowLimit(Mechanisms mechanisms) {
        mMechanisms = mechanisms;
    }

    @Override
    public void onCapacity(double slots, int nodes) {
        mMinLimit = Math.max(1, MIN_LIMIT_FRACTION * slots / nodes);
        mOccupancyPerRequest = nodes / Math.max(1, slots);
    }

    @Override
    public void onOccupancy(double requestsPerSlot) {
        mOccupancy = mMechanisms.isEnabled(Mechanism.TOLD_LOAD_LIMIT) ? requestsPerSlot : 0;
    }

    @Override
    public void onFirstByte(
            long firstByteNanos,
            long objectiveNanos,
            SentLoad load,
            boolean hasQueued,
            long nowNanos) {
        update(
                FIRST_BYTE_FRACTION * objectiveNanos / Math.max(1, firstByteNanos),
                load.inFlight(),
                hasQueued);
    }

    @Override
    public void onReplicaFull(SentLoad load) {
        update(REJECTION_FACTOR, load.inFlight(), true);
    }

    @Override
    public void onMissed(long nowNanos) {}

    @Override
    public boolean isActive(long nowNanos) {
        return mLimit != Double.POSITIVE_INFINITY || mOccupancy >= MAX_OCCUPANCY;
    }

    @Override
    public boolean admits(SentLoad load, long nowNanos) {
        int inFlight = load.inFlight();
        if (inFlight + 1 <= mMinLimit) {
            return true;
        }
        return inFlight + 1 <= Math.max(mMinLimit, mLimit) + mDither && mOccupancy < MAX_OCCUPANCY;
    }

    /** Records a sent request; assumes that each of the other nodes has sent one as well. */
    @Override
    public void onSent() {
        if (mOccupancy > 0) {
            mOccupancy += mOccupancyPerRequest;
        }
    }

    /**
     * Records the end of a request and advances the dither, so that the fractional part of the
     * limit admits one more request for that fraction of the time.
     */
    @Override
    public void onEnded() {
        mDither = (mDither + DITHER_STEP) % 1;
    }

    @Override
    public boolean admitsLate(SentLoad load, long nowNanos) {
        return load.inFlight() < LATE_FRACTION * Math.max(mMinLimit, mLimit)
                && mOccupancy < LATE_FRACTION * MAX_OCCUPANCY;
    }

    @Override
    public double assumedRatePerSecond(long nowNanos) {
        return 0;
    }

    @Override
    public boolean hasProspectForLate(long nowNanos) {
        return true;
    }

    /**
     * The expected time to the first byte counts only up to a fraction of the objective, since the
     * limit brings the replicas back to that.
     */
    @Override
    public long reservedNanos(long objectiveNanos, UrgencyClass times) {
        return (long) Math.min(FIRST_BYTE_FRACTION * objectiveNanos, times.firstByteNanos());
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
