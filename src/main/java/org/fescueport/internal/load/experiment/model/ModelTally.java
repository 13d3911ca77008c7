package org.fescueport.internal.load.experiment.model;

import org.HdrHistogram.Histogram;

/** Counts what callers of a modelled fleet get. */
public final class ModelTally {
    private static final int DIGITS = 3;
    private static final long MICRO = 1_000;

    private final Histogram mFirstMicros = new Histogram(DIGITS);
    private long mArrived;
    private long mInAim;
    private long mComplete;
    private long mRefused;

    void onArrived(Call call) {
        mArrived++;
    }

    void onFirst(Call call, long nowNanos) {
        mFirstMicros.recordValue(call.waitedNanos(nowNanos) / MICRO);
        mInAim += call.isInAim(nowNanos) ? 1 : 0;
    }

    void onEnded(boolean complete) {
        mComplete += complete ? 1 : 0;
    }

    void onRefused() {
        mRefused++;
    }

    /** Returns the part of calls whose first token came in time. */
    public double inAim() {
        return part(mInAim);
    }

    /** Returns the part of calls that were answered whole; those under way are not. */
    public double complete() {
        return part(mComplete);
    }

    /** Returns the part of calls that were refused. */
    public double refused() {
        return part(mRefused);
    }

    /** Returns how many calls came. */
    public long arrived() {
        return mArrived;
    }

    /** Returns a percentile of the time to the first token in milliseconds. */
    public double firstMillis(double percentile) {
        return mFirstMicros.getValueAtPercentile(percentile) / (double) MICRO;
    }

    private double part(long count) {
        return count / (double) Math.max(1, mArrived);
    }
}
