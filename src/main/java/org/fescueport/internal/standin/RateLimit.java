package org.fescueport.internal.standin;

import io.micrometer.core.instrument.Clock;

/** Token bucket whose capacity is the amount of one second. */
public final class RateLimit {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock mClock;
    private double mAvailable;
    private long mRefilledAtNanos;

    private RateLimit(Clock clock, double available) {
        mClock = clock;
        mAvailable = available;
        mRefilledAtNanos = clock.monotonicTime();
    }

    /** Creates a bucket that holds {@code available} at first. */
    public static RateLimit create(Clock clock, double available) {
        return new RateLimit(clock, available);
    }

    /** Refills the bucket at the given rate, and takes {@code amount} if it holds as much. */
    public synchronized boolean tryTake(double amount, double perSecond) {
        refill(perSecond);
        if (mAvailable < amount) {
            return false;
        }
        mAvailable -= amount;
        return true;
    }

    private void refill(double perSecond) {
        long now = mClock.monotonicTime();
        double refilled = (now - mRefilledAtNanos) / NANOS_PER_SECOND * perSecond;
        mAvailable = Math.min(perSecond, mAvailable + refilled);
        mRefilledAtNanos = now;
    }
}
