package org.fescueport.internal.standin;

import io.micrometer.core.instrument.Clock;

/** Token bucket that holds at most one second's worth. */
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

    /** Returns a bucket that starts with {@code available}. */
    public static RateLimit create(Clock clock, double available) {
        return new RateLimit(clock, available);
    }

    /** Takes {@code amount} if it is there at this rate. */
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
