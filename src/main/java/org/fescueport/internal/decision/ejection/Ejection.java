package org.fescueport.internal.decision.ejection;

/** How long one replica, or one failure domain as a whole, is kept away, and how it comes back. */
final class Ejection {
    private static final double MIN_RAMP_SHARE = 0.05;
    private static final int MAX_DOUBLINGS = 10;

    private final EjectionSettings mSettings;
    private int mEjections;
    private long mUntilNanos;

    Ejection(EjectionSettings settings) {
        mSettings = settings;
    }

    /** Keeps it away from now on, for longer than the last time. */
    void begin(long nowNanos) {
        long durationNanos =
                mSettings.baseEjectionTime().toNanos() << Math.min(mEjections, MAX_DOUBLINGS);
        mEjections++;
        mUntilNanos = nowNanos + Math.min(durationNanos, mSettings.maxEjectionTime().toNanos());
    }

    boolean isActive(long nowNanos) {
        return mEjections > 0 && nowNanos - mUntilNanos < 0;
    }

    /** Returns the share of its traffic that it gets now; at least 1 for all of it. */
    double trafficShare(long nowNanos) {
        if (mEjections == 0) {
            return 1;
        }
        if (isActive(nowNanos)) {
            return 0;
        }
        double sinceEndNanos = nowNanos - mUntilNanos;
        return Math.max(MIN_RAMP_SHARE, sinceEndNanos / mSettings.rampUpTime().toNanos());
    }
}
