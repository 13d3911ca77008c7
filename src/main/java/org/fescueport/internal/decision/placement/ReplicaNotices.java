package org.fescueport.internal.decision.placement;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import org.fescueport.internal.decision.attempt.AgentIncarnation;

/**
 * Keeps what replicas have stated in their responses about accepting new requests.
 *
 * <p>Replicas may leave or shed load faster than the shared list of replicas shows. A replica's own
 * notice therefore applies for the whole lifetime of that incarnation, whatever the list says. It
 * is lost only when this node ends, or is evicted after notices from very many newer incarnations.
 * This class is not thread-safe.
 *
 * <pre>{@code
 * notices.onNotice(incarnation, notice, now);
 * if (notices.acceptsRequests(incarnation, now)) {
 *     send(request);
 * }
 * }</pre>
 */
public final class ReplicaNotices {
    /** Several times the number of replicas in the largest fleet, allowing for some restarts. */
    private static final int MAX_INCARNATIONS = 8_192;

    /** Upper bound of a pause, so that one wrong value does not exclude a replica permanently. */
    private static final Duration MAX_PAUSE = Duration.ofHours(1);

    private static final class NoticeState {
        private boolean mLeaving;
        private boolean mPaused;
        private long mPausedUntilNanos;
        private boolean mUnreadable;
    }

    private final Map<AgentIncarnation, NoticeState> mStates = new BoundedMap<>(MAX_INCARNATIONS);

    private ReplicaNotices() {}

    /** Returns an empty collection of notices. */
    public static ReplicaNotices create() {
        return new ReplicaNotices();
    }

    /**
     * Records a notice. A pause that would end before the current one has no effect.
     *
     * @return whether the replica newly leaves or pauses, or this is the first unreadable notice of
     *     the incarnation
     */
    public boolean onNotice(AgentIncarnation incarnation, ReplicaNotice notice, long nowNanos) {
        if (notice.isEmpty()) {
            return false;
        }
        NoticeState state = mStates.computeIfAbsent(incarnation, key -> new NoticeState());
        boolean changed = notice.leaving() && !state.mLeaving;
        state.mLeaving |= notice.leaving();
        if (notice.pause().isPresent()) {
            changed |= pause(state, notice.pause().get(), nowNanos);
        }
        changed |= notice.unreadable().isPresent() && !state.mUnreadable;
        state.mUnreadable |= notice.unreadable().isPresent();
        return changed;
    }

    /** Returns whether requests may be sent to this incarnation. */
    public boolean acceptsRequests(AgentIncarnation incarnation, long nowNanos) {
        NoticeState state = mStates.get(incarnation);
        return state == null || (!state.mLeaving && !isPaused(state, nowNanos));
    }

    /** Returns whether this incarnation has requested a pause that is not over. */
    public boolean isPaused(AgentIncarnation incarnation, long nowNanos) {
        NoticeState state = mStates.get(incarnation);
        return state != null && isPaused(state, nowNanos);
    }

    /**
     * Returns the time until the first of the given incarnations accepts requests again; empty if
     * one accepts requests now, or if none of them ever will.
     */
    public Optional<Duration> timeUntilAccepting(
            Collection<AgentIncarnation> incarnations, long nowNanos) {
        if (incarnations.stream().anyMatch(incarnation -> acceptsRequests(incarnation, nowNanos))) {
            return Optional.empty();
        }
        return incarnations.stream()
                .map(mStates::get)
                .filter(state -> state != null && !state.mLeaving && isPaused(state, nowNanos))
                .map(state -> Duration.ofNanos(state.mPausedUntilNanos - nowNanos))
                .min(Duration::compareTo);
    }

    private static boolean pause(NoticeState state, Duration pause, long nowNanos) {
        Duration cappedPause = pause.compareTo(MAX_PAUSE) > 0 ? MAX_PAUSE : pause;
        long until = nowNanos + cappedPause.toNanos();
        boolean running = isPaused(state, nowNanos);
        if (until - nowNanos <= 0 || (running && until - state.mPausedUntilNanos <= 0)) {
            return false;
        }
        state.mPaused = true;
        state.mPausedUntilNanos = until;
        return !running;
    }

    private static boolean isPaused(NoticeState state, long nowNanos) {
        return state.mPaused && nowNanos - state.mPausedUntilNanos < 0;
    }
}
