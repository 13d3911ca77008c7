package org.fescueport.internal.decision.admission;

import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.Work;

/** Speeds of a replica, as moving averages of what was seen. */
public final class Speeds {
    private static final double GAIN = 0.1;
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private double mPrefillPerSecond;
    private double mDecodePerSecond;

    private Speeds(double prefillPerSecond, double decodePerSecond) {
        mPrefillPerSecond = prefillPerSecond;
        mDecodePerSecond = decodePerSecond;
    }

    /** Returns speeds to start from, in tokens a second of one request. */
    public static Speeds startingAt(double prefillPerSecond, double decodePerSecond) {
        return new Speeds(prefillPerSecond, decodePerSecond);
    }

    /** Learns from a prefill that was seen. */
    public void onPrefill(long tokens, long nanos) {
        mPrefillPerSecond = learn(mPrefillPerSecond, tokens, nanos);
    }

    /** Learns from the decode of one request that was seen. */
    public void onDecode(long tokens, long nanos) {
        mDecodePerSecond = learn(mDecodePerSecond, tokens, nanos);
    }

    /** Returns the time that this work takes once it has started. */
    public long serviceNanos(Work work) {
        double seconds =
                work.prefillTokens() / mPrefillPerSecond + work.decodeTokens() / mDecodePerSecond;
        return (long) (seconds * NANOS_PER_SECOND);
    }

    /** Returns the decode speed of one request in tokens a second. */
    public double decodePerSecond() {
        return mDecodePerSecond;
    }

    private static double learn(double old, long tokens, long nanos) {
        if (tokens <= 0 || nanos <= 0) {
            return old;
        }
        return old + GAIN * (tokens * NANOS_PER_SECOND / nanos - old);
    }
}
