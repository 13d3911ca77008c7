package org.fescueport.internal.direct.state;

import java.time.Duration;
import java.util.Optional;

/**
 * How long removed entries may still come back after the store has been away, or has come back from
 * a copy: live replicas write them anew. Used by the event loop alone.
 */
final class LapseGrace {
    /** Time after the store's return within which lapsed entries of live replicas are back. */
    static final Duration USUAL_RETURN = Duration.ofMillis(2_300);

    /** A sweep for lapsed entries, and what is then still on its way to a replica. */
    private static final Duration LEAVE_MARGIN = Duration.ofMillis(400);

    private final Duration mLength;
    private Optional<Long> mEndNanos = Optional.empty();

    private LapseGrace(Duration length) {
        mLength = length;
    }

    /**
     * Returns a grace that has not begun.
     *
     * @param leaveBound longest time a replica may be used after its removal has been read; an
     *     entry that lapsed and one that was taken away look alike, so it bounds both
     */
    static LapseGrace within(Duration leaveBound) {
        Duration longest = leaveBound.minus(LEAVE_MARGIN);
        return new LapseGrace(longest.compareTo(USUAL_RETURN) < 0 ? longest : USUAL_RETURN);
    }

    /** Begins anew. */
    void begin(long nowNanos) {
        mEndNanos = Optional.of(nowNanos + mLength.toNanos());
    }

    /** Lasts for at least so long from now. */
    void extend(Duration left, long nowNanos) {
        if (left.toNanos() > leftNanos(nowNanos)) {
            mEndNanos = Optional.of(nowNanos + left.toNanos());
        }
    }

    /** Returns how much is left; 0 when the store is steady. */
    long leftNanos(long nowNanos) {
        return mEndNanos.map(end -> Math.max(0, end - nowNanos)).orElse(0L);
    }
}
