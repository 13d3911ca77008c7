package org.fescueport.internal.direct.state;

import java.time.Duration;
import java.util.Optional;

/**
 * How long removed entries may still come back after the store has been away, or has come back from
 * a copy: live replicas write them anew. Used by the event loop alone.
 */
final class RemovalGracePeriod {
    /** Time after the store's return within which lapsed entries of live replicas are back. */
    static final Duration REREGISTRATION_TIME = Duration.ofMillis(2_300);

    /** A sweep for lapsed entries, and what is then still on its way to a replica. */
    private static final Duration REMOVAL_MARGIN = Duration.ofMillis(400);

    private final Duration mDuration;
    private Optional<Long> mEndNanos = Optional.empty();

    private RemovalGracePeriod(Duration length) {
        mDuration = length;
    }

    /**
     * Returns a grace that has not begun.
     *
     * @param maxUseAfterRemoval longest time a replica may be used after its removal has been read;
     *     an entry that lapsed and one that was taken away look alike, so it bounds both
     */
    static RemovalGracePeriod boundedBy(Duration maxUseAfterRemoval) {
        Duration longest = maxUseAfterRemoval.minus(REMOVAL_MARGIN);
        return new RemovalGracePeriod(
                longest.compareTo(REREGISTRATION_TIME) < 0 ? longest : REREGISTRATION_TIME);
    }

    /** Begins anew. */
    void start(long nowNanos) {
        mEndNanos = Optional.of(nowNanos + mDuration.toNanos());
    }

    /** Lasts for at least so long from now. */
    void extend(Duration remaining, long nowNanos) {
        if (remaining.toNanos() > remainingNanos(nowNanos)) {
            mEndNanos = Optional.of(nowNanos + remaining.toNanos());
        }
    }

    /** Returns how much is left; 0 when the store is steady. */
    long remainingNanos(long nowNanos) {
        return mEndNanos.map(end -> Math.max(0, end - nowNanos)).orElse(0L);
    }
}
