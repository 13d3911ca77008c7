package org.fescueport.internal.decision.admission;

import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.Work;

/** Speeds of a replica, as moving averages of what was seen. */
public final class ThroughputEstimate {
    private static final double SMOOTHING = 0.1;
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private double mPrefillTokensPerSecond;
    private double mDecodeTokensPerSecond;

    private ThroughputEstimate(double prefillTokensPerSecond, double decodeTokensPerSecond) {
        mPrefillTokensPerSecond = prefillTokensPerSecond;
        mDecodeTokensPerSecond = decodeTokensPerSecond;
    }

    /** Returns speeds to start from, in tokens a second of one request. */
    public static ThroughputEstimate startingAt(
            double prefillTokensPerSecond, double decodeTokensPerSecond) {
        return new ThroughputEstimate(prefillTokensPerSecond, decodeTokensPerSecond);
    }

    /** Learns from a prefill that was seen. */
    public void onPrefill(long tokens, long nanos) {
        mPrefillTokensPerSecond = smooth(mPrefillTokensPerSecond, tokens, nanos);
    }

    /** Learns from the decode of one request that was seen. */
    public void onDecode(long tokens, long nanos) {
        mDecodeTokensPerSecond = smooth(mDecodeTokensPerSecond, tokens, nanos);
    }

    /** Returns the time that this work takes once it has started. */
    public long serviceTimeNanos(Work work) {
        double seconds =
                work.prefillTokens() / mPrefillTokensPerSecond
                        + work.decodeTokens() / mDecodeTokensPerSecond;
        return (long) (seconds * NANOS_PER_SECOND);
    }

    /** Returns the decode speed of one request in tokens a second. */
    public double decodeTokensPerSecond() {
        return mDecodeTokensPerSecond;
    }

    private static double smooth(double average, long tokens, long nanos) {
        if (tokens <= 0 || nanos <= 0) {
            return average;
        }
        return average + SMOOTHING * (tokens * NANOS_PER_SECOND / nanos - average);
    }
}
