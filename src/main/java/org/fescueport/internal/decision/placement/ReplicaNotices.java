package org.fescueport.internal.decision.placement;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import org.fescueport.internal.decision.attempt.AgentIncarnation;

/**
 * What replicas have told this node in their answers about new work.
 *
 * <p>Answers replicas that leave, or shed load, faster than the shared list of replicas tells:
 * their own word counts for as long as that life of the replica lasts, whatever the list says
 * meanwhile. It is forgotten with the node alone, or when very many lives have come since. Not safe
 * for use by several threads.
 *
 * <pre>{@code
 * notices.onNotice(life, notice, now);
 * if (notices.takesWork(life, now)) {
 *     send(request);
 * }
 * }</pre>
 */
public final class ReplicaNotices {
    /** Several times the replicas of the largest fleet, each with some restarts. */
    private static final int MAX_INCARNATIONS = 8_192;

    /**
     * A longer pause is cut to this, so that one wrong figure does not close a replica for good.
     */
    private static final Duration MAX_PAUSE = Duration.ofHours(1);

    private static final class NoticeState {
        private boolean mLeaving;
        private boolean mPaused;
        private long mPausedUntilNanos;
        private boolean mUnreadable;
    }

    private final Map<AgentIncarnation, NoticeState> mStates = new BoundedMap<>(MAX_INCARNATIONS);

    private ReplicaNotices() {}

    /** Returns notices of replicas that have told nothing yet. */
    public static ReplicaNotices create() {
        return new ReplicaNotices();
    }

    /**
     * Takes in what an answer said; a shorter pause does not take back a longer one.
     *
     * @return whether it changes what is believed, or is the first unreadable one of this life
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

    /** Returns whether a request may be sent to this life of a replica. */
    public boolean acceptsRequests(AgentIncarnation incarnation, long nowNanos) {
        NoticeState state = mStates.get(incarnation);
        return state == null || (!state.mLeaving && !isPaused(state, nowNanos));
    }

    /** Returns whether this life of a replica has asked for a pause that is not over. */
    public boolean isPaused(AgentIncarnation incarnation, long nowNanos) {
        NoticeState state = mStates.get(incarnation);
        return state != null && isPaused(state, nowNanos);
    }

    /**
     * Returns after which time the first of these takes work again; absent where one takes work
     * now, or none of them ever will.
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
