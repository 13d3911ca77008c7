package org.fescueport.internal.decision.placement;

import java.util.Map;

/**
 * Running median of the time to the first byte for each kind of work of a pool. It follows the pool
 * within some tens of answers, so that a load which slows all replicas makes none of them slow.
 * This class is not thread-safe.
 */
final class UsualTimes {
    /** Relative step of the median towards a new value. */
    private static final double STEP = 0.05;

    /** Number of values until the median is used, and during which it takes larger steps. */
    private static final int WARM_UP = 5;

    /** More kinds than a pool's routes have. */
    private static final int MAX_KINDS = 256;

    private static final class Median {
        private double mNanos;
        private int mCount;

        void add(double nanos) {
            mCount = Math.min(WARM_UP, mCount + 1);
            if (mCount < WARM_UP) {
                mNanos += (nanos - mNanos) / mCount;
            } else {
                mNanos *= 1 + STEP * Math.signum(nanos - mNanos);
            }
        }
    }

    private final Map<WorkKind, Median> mMedians = new BoundedMap<>(MAX_KINDS);

    void add(WorkKind kind, double nanos) {
        mMedians.computeIfAbsent(kind, key -> new Median()).add(nanos);
    }

    /** Returns whether a time is longer than the median by a factor; false while it is unknown. */
    boolean isLonger(WorkKind kind, double nanos, double factor) {
        Median median = mMedians.get(kind);
        return median != null && median.mCount >= WARM_UP && nanos > factor * median.mNanos;
    }
}
