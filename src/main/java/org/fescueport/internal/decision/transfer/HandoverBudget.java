package org.fescueport.internal.decision.transfer;

import java.util.concurrent.TimeUnit;

/**
 * Limits the caches that a leaving replica transfers to others, by rate, total size and time. The
 * rate leaves network bandwidth for the requests in flight. This class is not thread-safe.
 */
public final class HandoverBudget {
    /**
     * The limits of a handover.
     *
     * @param bytesPerSecond average rate; it may be exceeded during the transfer of a single chat
     * @param maxBytes total size of all chats
     * @param seconds time from the start of the handover
     */
    public record Limits(long bytesPerSecond, long maxBytes, long seconds) {}

    private final Limits mLimits;
    private final long mStartNanos;
    private long mSentBytes;

    private HandoverBudget(Limits limits, long nowNanos) {
        mLimits = limits;
        mStartNanos = nowNanos;
    }

    /** Returns an unused budget whose time starts now. */
    public static HandoverBudget start(Limits limits, long nowNanos) {
        return new HandoverBudget(limits, nowNanos);
    }

    /** Records a transfer of the given size. */
    public void onSent(long bytes) {
        mSentBytes += bytes;
    }

    /** Returns whether no more chats may be transferred. */
    public boolean isExhausted(long nowNanos) {
        long end = TimeUnit.SECONDS.toNanos(mLimits.seconds());
        return mSentBytes >= mLimits.maxBytes() || nowNanos - mStartNanos >= end;
    }

    /** Returns the time to wait before the next chat so that the rate is not exceeded. */
    public long delayNanos(long nowNanos) {
        double seconds = (double) mSentBytes / mLimits.bytesPerSecond();
        long due = mStartNanos + (long) (seconds * TimeUnit.SECONDS.toNanos(1));
        return Math.max(0, due - nowNanos);
    }
}
