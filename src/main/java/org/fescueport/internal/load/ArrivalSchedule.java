package org.fescueport.internal.load;

import java.util.random.RandomGenerator;

/** Times and teams of an open-loop load: arrivals do not wait for answers. */
final class ArrivalSchedule {
    /** One arrival, in nanoseconds since the start. */
    record Arrival(long atNanos, int team) {}

    private static final double FIRST_SHARE = 0.05;

    private final LoadProfile mProfile;
    private final RandomGenerator mRandom;
    private long mAtNanos;

    private ArrivalSchedule(LoadProfile profile, RandomGenerator random) {
        mProfile = profile;
        mRandom = random;
    }

    static ArrivalSchedule of(LoadProfile profile, RandomGenerator random) {
        return new ArrivalSchedule(profile, random);
    }

    /** Returns the next arrival, or null when the load is over. */
    Arrival next() {
        int teams = mProfile.keys().size();
        int factor =
                mProfile.surge().isOn(mAtNanos - mProfile.warmupNanos())
                        ? mProfile.surge().factor()
                        : 1;
        double shares = teams - 1 + factor;
        double rate = mProfile.ratePerSecond() * shares / teams * rampShare();
        double gapSeconds = -Math.log(1 - mRandom.nextDouble()) / rate;
        mAtNanos += (long) (gapSeconds * LoadProfile.NANOS_PER_SECOND);
        if (mAtNanos >= mProfile.totalNanos()) {
            return null;
        }
        int team = (int) Math.max(0, mRandom.nextDouble() * shares - (factor - 1));
        return new Arrival(mAtNanos, Math.min(team, teams - 1));
    }

    /** The rate rises during the warm-up, so that cold processes do not begin with a backlog. */
    private double rampShare() {
        if (mAtNanos >= mProfile.warmupNanos()) {
            return 1;
        }
        double passed = mAtNanos / (double) mProfile.warmupNanos();
        return FIRST_SHARE + (1 - FIRST_SHARE) * passed;
    }
}
