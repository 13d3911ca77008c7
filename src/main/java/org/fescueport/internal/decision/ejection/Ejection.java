package org.fescueport.internal.decision.ejection;

/**
 * The ejection of one replica, or of one failure domain as a whole: how long it gets no traffic,
 * and how its traffic ramps up afterwards.
 */
final class Ejection {
    private static final double MIN_RAMP_SHARE = 0.05;
    private static final int MAX_DOUBLINGS = 10;

    private final EjectionSettings mSettings;
    private int mEjections;
    private long mUntilNanos;

    Ejection(EjectionSettings settings) {
        mSettings = settings;
    }

    /**
     * Starts an ejection now; each one lasts twice as long as the previous one, up to a maximum.
     */
    void begin(long nowNanos) {
        long durationNanos =
                mSettings.baseEjectionTime().toNanos() << Math.min(mEjections, MAX_DOUBLINGS);
        mEjections++;
        mUntilNanos = nowNanos + Math.min(durationNanos, mSettings.maxEjectionTime().toNanos());
    }

    boolean isActive(long nowNanos) {
        return mEjections > 0 && nowNanos - mUntilNanos < 0;
    }

    /** Returns the fraction of the usual traffic to send now; at least 1 means all. */
    double share(long nowNanos) {
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
