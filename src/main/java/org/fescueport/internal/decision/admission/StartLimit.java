package org.fescueport.internal.decision.admission;

import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.share.DecayingRate;

/**
 * Limit on the number of requests of this node that wait at the replicas of a pool for the first
 * byte of their response.
 *
 * <p>Designed for a load that rises within a second to a multiple of what the replicas can begin to
 * answer. By Little's law, the time to the first byte is the number of waiting requests divided by
 * the rate at which responses begin. The limit is the rate of the recent past times a fraction of
 * the latency objective, so a sudden load does not fill the replicas before the first late response
 * tells of it, whatever binds them: slots, prompts to be read, memory or the speed of their
 * machines. While responses begin sooner than that fraction, the limit lets the rate grow. This
 * class is not thread-safe.
 */
final class StartLimit implements SendLimit {
    /** Time constant of the rate at which responses begin. */
    private static final double RATE_TIME_CONSTANT_SECONDS = 1;

    /**
     * Fraction of the latency objective in which responses begin, on average, if the rate does not
     * grow; the rest covers the differences between requests.
     */
    private static final double TARGET_FRACTION = 0.2;

    /** Factor by which more may wait than the recent rate accounts for, so that it can grow. */
    private static final double GROWTH = 1.25;

    /**
     * Standard deviations of a random number of waiting requests by which the limit exceeds their
     * mean, so that nodes with few requests do not hold them back while replicas are idle.
     */
    private static final double DEVIATIONS = 3;

    /** The same while there is a shortage, in which the replicas are not idle. */
    private static final double DEVIATIONS_IN_SHORTAGE = 0.5;

    /** Fraction of an equal share of all slots that may wait regardless of the rate. */
    private static final double MIN_LIMIT_FRACTION = 0.1;

    /**
     * Largest number of requests that may wait regardless of the rate. While there is no shortage,
     * an equal share of all slots may wait up to that number, as a node that has just started has
     * no rate yet.
     */
    private static final double LARGEST_MIN_LIMIT = 8;

    /** Weight of a new sample in the moving average of the objective. */
    private static final double SMOOTHING = 0.05;

    /** Number of mean deviations that are added to the expected time to the first byte. */
    private static final double RESERVED_DEVIATIONS = 3;

    /** Largest fraction of the objective that is reserved for the replica. */
    private static final double MAX_RESERVED_FRACTION = 0.8;

    /** Multiple of the limit up to which teams that ask for no more than their share may send. */
    private static final double GRANTED_FACTOR = 4;

    /** Fraction of the limit that late requests may use. */
    private static final double LATE_FRACTION = 0.8;

    /** Time after a missed offer in which no late request is sent. */
    private static final long SHORTAGE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /**
     * Step of the dither modulo one: the inverse golden ratio, which spreads any number of
     * successive values evenly.
     */
    private static final double DITHER_STEP = 0.618033988749895;

    private static final double NANOS_PER_SECOND = 1e9;

    private final DecayingRate mStarts;

    /** Of a usual objective, before any is known. */
    private double mObjectivesPerSecond = 1;

    private boolean mHasObjective;
    private double mMinLimit = 1;
    private double mMinLimitWithoutShortage = 1;
    private double mShareFactor = 1;
    private double mDither;
    private long mShortageEndNanos;

    StartLimit(long nowNanos) {
        mStarts = new DecayingRate(RATE_TIME_CONSTANT_SECONDS, nowNanos);
        mShortageEndNanos = nowNanos;
    }

    /**
     * Sets the factor by which the limit is raised or lowered, so that this node approaches its
     * share of what the replicas can begin.
     */
    void onShareFactor(double factor) {
        mShareFactor = factor;
    }

    @Override
    public void onCapacity(double slots, int nodes) {
        mMinLimit = Math.clamp(MIN_LIMIT_FRACTION * slots / nodes, 1, LARGEST_MIN_LIMIT);
        mMinLimitWithoutShortage = Math.clamp(slots / nodes, 1, LARGEST_MIN_LIMIT);
    }

    /** Ignored: the rate at which responses begin accounts for full replicas. */
    @Override
    public void onOccupancy(double requestsPerSlot) {}

    @Override
    public void onFirstByte(
            long firstByteNanos,
            long objectiveNanos,
            SentLoad load,
            boolean hasQueued,
            long nowNanos) {
        mStarts.add(nowNanos);
        double sample = NANOS_PER_SECOND / Math.max(1, objectiveNanos);
        mObjectivesPerSecond += (mHasObjective ? SMOOTHING : 1) * (sample - mObjectivesPerSecond);
        mHasObjective = true;
    }

    /** Ignored: a refused request does not begin, so the rate falls. */
    @Override
    public void onReplicaFull(SentLoad load) {}

    @Override
    public void onMissed(long nowNanos) {
        mShortageEndNanos = nowNanos + SHORTAGE_NANOS;
    }

    @Override
    public void onSent() {}

    /**
     * Records the end of a request and advances the dither, so that the fractional part of the
     * limit admits one more request for that fraction of the time.
     */
    @Override
    public void onEnded() {
        mDither = (mDither + DITHER_STEP) % 1;
    }

    @Override
    public boolean isActive(long nowNanos) {
        return isShort(nowNanos);
    }

    @Override
    public boolean admits(SentLoad load, long nowNanos) {
        return load.awaiting() + 1 <= limit(nowNanos) + mDither;
    }

    /**
     * Returns whether one more request of a team may be sent that asks for no more than its share.
     * Such requests do not wait behind those of the teams that cause the shortage.
     */
    boolean admitsGranted(SentLoad load, long nowNanos) {
        return load.awaiting() + 1 <= GRANTED_FACTOR * limit(nowNanos) + mDither;
    }

    @Override
    public boolean admitsLate(SentLoad load, long nowNanos) {
        return !isShort(nowNanos) && load.awaiting() < LATE_FRACTION * limit(nowNanos);
    }

    /** Without a shortage, as many begin in the target time as may wait. */
    @Override
    public double assumedRatePerSecond(long nowNanos) {
        return isShort(nowNanos) ? 0 : limit(nowNanos) * mObjectivesPerSecond / TARGET_FRACTION;
    }

    @Override
    public boolean hasProspectForLate(long nowNanos) {
        return !isShort(nowNanos);
    }

    /** Covers almost all requests, as those that are sent at the last moment must be in time. */
    @Override
    public long reservedNanos(long objectiveNanos, UrgencyClass times) {
        double usual =
                times.firstByteNanos() + RESERVED_DEVIATIONS * times.firstByteDeviationNanos();
        return (long) Math.min(MAX_RESERVED_FRACTION * objectiveNanos, usual);
    }

    /** Returns whether offers that could have been in time were not sent lately. */
    boolean isShort(long nowNanos) {
        return nowNanos - mShortageEndNanos < 0;
    }

    private double limit(long nowNanos) {
        boolean isShort = isShort(nowNanos);
        double minimum = isShort ? mMinLimit : mMinLimitWithoutShortage;
        double targetSeconds = TARGET_FRACTION / mObjectivesPerSecond;
        double usual = mShareFactor * GROWTH * targetSeconds * mStarts.perSecond(nowNanos);
        double deviations = isShort ? DEVIATIONS_IN_SHORTAGE : DEVIATIONS;
        return Math.max(minimum, usual + deviations * Math.sqrt(usual));
    }
}
