package org.fescueport.internal.decision.ejection;

/** How long one replica, or one failure domain as a whole, is kept away, and how it comes back. */
final class Ejection {
    private static final double LEAST_RAMP_SHARE = 0.05;
    private static final int MAX_DOUBLINGS = 10;

    private final EjectionSettings mSettings;
    private int mTimes;
    private long mUntilNanos;

    Ejection(EjectionSettings settings) {
        mSettings = settings;
    }

    /** Keeps it away from now on, for longer than the last time. */
    void begin(long nowNanos) {
        long time = mSettings.baseTime().toNanos() << Math.min(mTimes, MAX_DOUBLINGS);
        mTimes++;
        mUntilNanos = nowNanos + Math.min(time, mSettings.maxTime().toNanos());
    }

    boolean isInForce(long nowNanos) {
        return mTimes > 0 && nowNanos - mUntilNanos < 0;
    }

    /** Returns the share of its traffic that it gets now; at least 1 for all of it. */
    double share(long nowNanos) {
        if (mTimes == 0) {
            return 1;
        }
        if (isInForce(nowNanos)) {
            return 0;
        }
        double since = nowNanos - mUntilNanos;
        return Math.max(LEAST_RAMP_SHARE, since / mSettings.rampTime().toNanos());
    }
}
