package org.fescueport.internal.direct.state;

import java.time.Duration;
import java.util.Optional;

/**
 * The time for which removed entries may still be written again after an outage or a restore of the
 * store: live replicas re-register with their next heartbeats. Not thread-safe; used only on the
 * event loop.
 */
final class RemovalGracePeriod {
    /**
     * Time after the recovery of the store within which live replicas have written their expired
     * entries again.
     */
    static final Duration REREGISTRATION_TIME = Duration.ofMillis(2_300);

    /**
     * Covers the interval between two sweeps for expired entries, and requests that are then still
     * on their way to a replica.
     */
    private static final Duration REMOVAL_MARGIN = Duration.ofMillis(400);

    private final Duration mDuration;
    private Optional<Long> mEndNanos = Optional.empty();

    private RemovalGracePeriod(Duration length) {
        mDuration = length;
    }

    /**
     * Returns a grace period that has not started.
     *
     * @param maxUseAfterRemoval longest time for which a replica may be used after its removal has
     *     been read; an expired entry cannot be distinguished from one that was removed, so the
     *     limit applies to both
     */
    static RemovalGracePeriod boundedBy(Duration maxUseAfterRemoval) {
        Duration longest = maxUseAfterRemoval.minus(REMOVAL_MARGIN);
        return new RemovalGracePeriod(
                longest.compareTo(REREGISTRATION_TIME) < 0 ? longest : REREGISTRATION_TIME);
    }

    /** Starts the period anew. */
    void start(long nowNanos) {
        mEndNanos = Optional.of(nowNanos + mDuration.toNanos());
    }

    /** Returns the remaining time in nanoseconds; 0 if the period is not running. */
    long remainingNanos(long nowNanos) {
        return mEndNanos.map(end -> Math.max(0, end - nowNanos)).orElse(0L);
    }
}
