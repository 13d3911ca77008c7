package org.fescueport.internal.load.experiment;

import org.HdrHistogram.Histogram;

/** Samples the largest load of a fleet's replicas over their mean. */
final class SkewMeter {
    private static final double SCALE = 1_000;

    private final Fleet mFleet;
    private final Tally mTally;
    private final Histogram mRatios = new Histogram(3);
    private final Histogram mErrors = new Histogram(3);
    private long mAbove;
    private double mMeanTokens;

    SkewMeter(Fleet fleet, Tally tally, VirtualTime time, long periodNanos) {
        mFleet = fleet;
        mTally = tally;
        time.every(periodNanos, this::sample);
    }

    private void sample() {
        if (!mTally.counts()) {
            return;
        }
        double sum = 0;
        double max = 0;
        for (var replica : mFleet.live()) {
            replica.update();
            double load = replica.loadTokens();
            sum += load;
            max = Math.max(max, load);
        }
        double mean = sum / mFleet.live().size();
        mMeanTokens += mean;
        sampleErrors(mean);
        if (mean > 0) {
            mRatios.recordValue((long) (max / mean * SCALE));
            mAbove += max > mFleet.settings().bound().factor() * mean ? 1 : 0;
        }
    }

    private void sampleErrors(double mean) {
        for (var replica : mFleet.live()) {
            double error = Math.abs(replica.mQueue.load().meanTokens() - mean) / Math.max(1, mean);
            mErrors.recordValue((long) (error * SCALE));
        }
    }

    /** Relative error of the replicas' estimates of the mean. */
    double meanError(double percentile) {
        return mErrors.getValueAtPercentile(percentile) / SCALE;
    }

    double max() {
        return mRatios.getMaxValue() / SCALE;
    }

    double median() {
        return mRatios.getValueAtPercentile(50) / SCALE;
    }

    long samples() {
        return mRatios.getTotalCount();
    }

    long above() {
        return mAbove;
    }

    double meanTokens() {
        return mMeanTokens / Math.max(1, samples());
    }
}
