package org.fescueport.internal.decision.admission;

import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.Work;

/** Moving averages of the prefill and decode throughput observed at a replica. */
public final class ThroughputEstimate {
    private static final double SMOOTHING = 0.1;
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private double mPrefillPerSecond;
    private double mDecodePerSecond;

    private ThroughputEstimate(double prefillPerSecond, double decodePerSecond) {
        mPrefillPerSecond = prefillPerSecond;
        mDecodePerSecond = decodePerSecond;
    }

    /** Returns an estimate with these initial rates, in tokens per second of a single request. */
    public static ThroughputEstimate withInitialRates(
            double prefillPerSecond, double decodePerSecond) {
        return new ThroughputEstimate(prefillPerSecond, decodePerSecond);
    }

    /** Adds the duration of an observed prefill of this many tokens. */
    public void onPrefill(long tokens, long nanos) {
        mPrefillPerSecond = smooth(mPrefillPerSecond, tokens, nanos);
    }

    /** Adds the duration of an observed decode of this many tokens for a single request. */
    public void onDecode(long tokens, long nanos) {
        mDecodePerSecond = smooth(mDecodePerSecond, tokens, nanos);
    }

    /** Returns the expected duration of this work once it has started. */
    public long serviceTimeNanos(Work work) {
        double seconds =
                work.prefillTokens() / mPrefillPerSecond + work.decodeTokens() / mDecodePerSecond;
        return (long) (seconds * NANOS_PER_SECOND);
    }

    /** Returns the decode rate of a single request in tokens per second. */
    public double decodeTokensPerSecond() {
        return mDecodePerSecond;
    }

    private static double smooth(double average, long tokens, long nanos) {
        if (tokens <= 0 || nanos <= 0) {
            return average;
        }
        return average + SMOOTHING * (tokens * NANOS_PER_SECOND / nanos - average);
    }
}
