package org.fescueport.internal.direct.place;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Tracks which share of second tries has led to an answer lately, by kind of retry.
 *
 * <p>Designed for pools whose replicas all fail the same requests: a second try fails there as
 * well, and uses up the retry budget that other requests need. Such retries are withheld except for
 * a few, which show when they succeed again. This class is not thread-safe.
 */
public final class RetryYields {
    /** Time after which an outcome counts half. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(10);

    /** Number of recent outcomes from which the share is meaningful. */
    private static final double MIN_OUTCOMES = 8;

    /** Share of successes below which second tries are withheld. */
    private static final double MIN_SHARE = 0.25;

    /** One of this many withheld retries is allowed nevertheless. */
    private static final int PROBE_INTERVAL = 10;

    /** Largest number of kinds; retries of further ones are always allowed. */
    private static final int MAX_KINDS = 1_024;

    private static final class Outcomes {
        private double mAll;
        private double mSuccesses;
        private long mUpdatedNanos;
        private int mAsked;

        void decay(long nowNanos) {
            double halfLives = (double) (nowNanos - mUpdatedNanos) / HALF_LIFE.toNanos();
            double factor = Math.pow(0.5, Math.max(0, halfLives));
            mAll *= factor;
            mSuccesses *= factor;
            mUpdatedNanos = nowNanos;
        }
    }

    private final Map<String, Outcomes> mOutcomes = new HashMap<>();

    private RetryYields() {}

    /** Returns a tracker without any outcomes. */
    public static RetryYields create() {
        return new RetryYields();
    }

    /** Records how a request ended that had been sent a second time. */
    public void onEnded(String kind, boolean success, long nowNanos) {
        if (mOutcomes.size() >= MAX_KINDS && !mOutcomes.containsKey(kind)) {
            return;
        }
        var outcomes = mOutcomes.computeIfAbsent(kind, key -> new Outcomes());
        outcomes.decay(nowNanos);
        outcomes.mAll++;
        outcomes.mSuccesses += success ? 1 : 0;
    }

    /** Returns whether a second try is worth its part of the retry budget. */
    public boolean isWorthwhile(String kind, long nowNanos) {
        var outcomes = mOutcomes.get(kind);
        if (outcomes == null) {
            return true;
        }
        outcomes.decay(nowNanos);
        boolean pays =
                outcomes.mAll < MIN_OUTCOMES || outcomes.mSuccesses >= MIN_SHARE * outcomes.mAll;
        return pays || ++outcomes.mAsked % PROBE_INTERVAL == 0;
    }
}
