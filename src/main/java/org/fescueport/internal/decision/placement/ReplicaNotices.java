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
    private static final int MOST_LIVES = 8_192;

    /**
     * A longer pause is cut to this, so that one wrong figure does not close a replica for good.
     */
    private static final Duration LONGEST_PAUSE = Duration.ofHours(1);

    private static final class Told {
        private boolean mLeaving;
        private boolean mPaused;
        private long mPausedUntilNanos;
        private boolean mUnreadable;
    }

    private final Map<AgentIncarnation, Told> mLives = new BoundedMap<>(MOST_LIVES);

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
    public boolean onNotice(AgentIncarnation life, ReplicaNotice notice, long nowNanos) {
        if (notice.isEmpty()) {
            return false;
        }
        Told told = mLives.computeIfAbsent(life, key -> new Told());
        boolean news = notice.leaving() && !told.mLeaving;
        told.mLeaving |= notice.leaving();
        if (notice.pause().isPresent()) {
            news |= pause(told, notice.pause().get(), nowNanos);
        }
        news |= notice.unreadable().isPresent() && !told.mUnreadable;
        told.mUnreadable |= notice.unreadable().isPresent();
        return news;
    }

    /** Returns whether a request may be sent to this life of a replica. */
    public boolean takesWork(AgentIncarnation life, long nowNanos) {
        Told told = mLives.get(life);
        return told == null || (!told.mLeaving && !isPaused(told, nowNanos));
    }

    /** Returns whether this life of a replica has asked for a pause that is not over. */
    public boolean isPaused(AgentIncarnation life, long nowNanos) {
        Told told = mLives.get(life);
        return told != null && isPaused(told, nowNanos);
    }

    /**
     * Returns after which time the first of these takes work again; absent where one takes work
     * now, or none of them ever will.
     */
    public Optional<Duration> opensIn(Collection<AgentIncarnation> lives, long nowNanos) {
        if (lives.stream().anyMatch(life -> takesWork(life, nowNanos))) {
            return Optional.empty();
        }
        return lives.stream()
                .map(mLives::get)
                .filter(told -> told != null && !told.mLeaving && isPaused(told, nowNanos))
                .map(told -> Duration.ofNanos(told.mPausedUntilNanos - nowNanos))
                .min(Duration::compareTo);
    }

    private static boolean pause(Told told, Duration pause, long nowNanos) {
        Duration time = pause.compareTo(LONGEST_PAUSE) > 0 ? LONGEST_PAUSE : pause;
        long until = nowNanos + time.toNanos();
        boolean running = isPaused(told, nowNanos);
        if (until - nowNanos <= 0 || (running && until - told.mPausedUntilNanos <= 0)) {
            return false;
        }
        told.mPaused = true;
        told.mPausedUntilNanos = until;
        return !running;
    }

    private static boolean isPaused(Told told, long nowNanos) {
        return told.mPaused && nowNanos - told.mPausedUntilNanos < 0;
    }
}
