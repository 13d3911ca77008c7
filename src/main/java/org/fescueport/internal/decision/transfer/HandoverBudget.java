package org.fescueport.internal.decision.transfer;

import java.util.concurrent.TimeUnit;

/**
 * Bounds what a leaving replica hands over: a rate, so that requests in flight keep their network,
 * a sum, and a time. Not safe for use by several threads.
 */
public final class HandoverBudget {
    /**
     * The bounds.
     *
     * @param bytesPerSecond rate over any time that is longer than one chat's transfer
     * @param maxBytes sum of all chats
     * @param seconds time from the first chat on
     */
    public record Limits(long bytesPerSecond, long maxBytes, long seconds) {}

    private final Limits mLimits;
    private final long mStartNanos;
    private long mSentBytes;

    private HandoverBudget(Limits limits, long nowNanos) {
        mLimits = limits;
        mStartNanos = nowNanos;
    }

    /** Returns a full budget whose time begins now. */
    public static HandoverBudget start(Limits limits, long nowNanos) {
        return new HandoverBudget(limits, nowNanos);
    }

    /** Notes what was sent. */
    public void onSent(long bytes) {
        mSentBytes += bytes;
    }

    /** Returns whether nothing more may be handed over. */
    public boolean isExhausted(long nowNanos) {
        long end = TimeUnit.SECONDS.toNanos(mLimits.seconds());
        return mSentBytes >= mLimits.maxBytes() || nowNanos - mStartNanos >= end;
    }

    /** Returns the time to wait before the next chat, for the rate to be kept. */
    public long delayNanos(long nowNanos) {
        double seconds = (double) mSentBytes / mLimits.bytesPerSecond();
        long due = mStartNanos + (long) (seconds * TimeUnit.SECONDS.toNanos(1));
        return Math.max(0, due - nowNanos);
    }
}
