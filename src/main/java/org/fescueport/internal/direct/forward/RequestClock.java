package org.fescueport.internal.direct.forward;

import io.micrometer.core.instrument.Clock;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.admission.PoolOffer;
import org.fescueport.internal.direct.config.RequestKind;
import org.fescueport.internal.direct.config.Route;

/** Tracks the deadline and the latency objective of one request, both counted from its arrival. */
final class RequestClock {
    /** With less time left than this, a replica cannot do anything useful with a request. */
    private static final Duration MIN_TIME_TO_SEND = Duration.ofMillis(40);

    /**
     * Fraction of the latency objective after which a repeatable request without a response is sent
     * to another replica.
     */
    private static final double RESPONSE_FRACTION_OF_OBJECTIVE = 0.6;

    /**
     * Longest silence of a replica that serves streams. A working engine sends far more often; the
     * processing of a long prompt alone takes half of this time.
     */
    private static final Duration STREAM_SILENCE_LIMIT = Duration.ofMillis(900);

    /**
     * Number of longest pauses after the last event for which a stream goes on at the same replica.
     * Timeouts are checked in intervals, and the stream is to go on within two pauses.
     */
    private static final double PAUSES_BEFORE_STALL = 1.5;

    /**
     * Number of latency objectives after which a stream without any event may go on at another
     * replica, if its replica sends nothing at all.
     */
    private static final int OBJECTIVES_BEFORE_FIRST_EVENT = 2;

    /** Number of longest pauses for which a working replica sends nothing at most. */
    private static final int PAUSES_OF_SILENT_REPLICA = 2;

    /** Callers are told to retry after at most this fraction of the time that they have left. */
    private static final double MAX_RETRY_AFTER_FRACTION = 0.3;

    /**
     * If it is known when a replica accepts work again, callers are told to retry at a random time
     * within this period after it.
     */
    private static final Duration RETRY_JITTER = Duration.ofMillis(200);

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);
    private static final Duration MAX_RETRY_AFTER = Duration.ofMillis(1_500);

    private final Clock mClock;
    private final long mStartNanos;
    private final long mDeadlineNanos;
    private final Duration mObjective;
    private final Optional<Duration> mLongestPause;

    private RequestClock(
            Clock clock,
            long startNanos,
            long deadlineNanos,
            Duration objective,
            Optional<Duration> longestPause) {
        mLongestPause = longestPause;
        mClock = clock;
        mStartNanos = startNanos;
        mDeadlineNanos = deadlineNanos;
        mObjective = objective;
    }

    /**
     * Starts the clock of a request that has just been received completely.
     *
     * @param timeoutMillis how long the caller waits; the route's timeout applies if it is shorter
     *     or the caller gives none
     */
    static RequestClock start(Clock clock, Route route, OptionalLong timeoutMillis) {
        long start = clock.monotonicTime();
        long end = start + timeout(route, timeoutMillis).toNanos();
        return new RequestClock(clock, start, end, route.objective(), route.longestPause());
    }

    /**
     * Returns the time after which a request ends without a response at the latest.
     *
     * @param timeoutMillis how long the caller waits, if the caller states it
     */
    static Duration timeout(Route route, OptionalLong timeoutMillis) {
        long limit = route.timeout().toMillis();
        return Duration.ofMillis(Math.min(limit, Math.max(0, timeoutMillis.orElse(limit))));
    }

    boolean isExpired(long nowNanos) {
        return nowNanos - mDeadlineNanos >= 0;
    }

    long elapsedNanos() {
        return mClock.monotonicTime() - mStartNanos;
    }

    /** Returns the time until the deadline, at least 1 ms. */
    long remainingMillis() {
        return Math.max(1, (mDeadlineNanos - mClock.monotonicTime()) / 1_000_000);
    }

    /** Returns whether enough time is left for a replica to process the request. */
    boolean hasTimeToSend() {
        return mDeadlineNanos - mClock.monotonicTime() > MIN_TIME_TO_SEND.toNanos();
    }

    /** Returns how long a replica may be silent before the request is sent to another one. */
    Duration silenceLimit(RequestKind kind, boolean started) {
        if (kind.isStream()) {
            return STREAM_SILENCE_LIMIT;
        }
        return Duration.ofNanos((long) (RESPONSE_FRACTION_OF_OBJECTIVE * mObjective.toNanos()));
    }

    /**
     * Returns the time after an event from which a stream without the next event has stalled; empty
     * if the route declares no longest pause.
     */
    Optional<Duration> stallLimit() {
        return mLongestPause.map(
                pause -> Duration.ofNanos((long) (PAUSES_BEFORE_STALL * pause.toNanos())));
    }

    /** Returns the time after sending from which a stream without any event is very late. */
    Duration firstEventLimit() {
        return mObjective.multipliedBy(OBJECTIVES_BEFORE_FIRST_EVENT);
    }

    /** Returns how long the replica of a very late stream may send nothing; see stallLimit. */
    Optional<Duration> replicaSilenceLimit() {
        return mLongestPause.map(pause -> pause.multipliedBy(PAUSES_OF_SILENT_REPLICA));
    }

    /** Returns the offer with which this request asks for admission to a pool. */
    PoolOffer offer(AttemptId id, TeamId team, int urgency) {
        long objective = mObjective.toNanos();
        long objectiveDeadline = mStartNanos + objective;
        return new PoolOffer(id, team, urgency, objectiveDeadline, objective, mDeadlineNanos);
    }

    /**
     * Returns a random delay between {@code earliest} and twice that time, so that callers that are
     * refused at the same time do not retry at the same time.
     */
    static Duration withJitter(Duration earliest, RandomGenerator random) {
        return Duration.ofNanos((long) (earliest.toNanos() * (1 + random.nextDouble())));
    }

    /**
     * Returns after what time to retry, randomized so that callers do not all retry at once.
     *
     * @param availableIn time until the first replica accepts work again, if all of them have asked
     *     for a pause
     */
    Duration retryAfter(Optional<Duration> availableIn, RandomGenerator random) {
        if (availableIn.isPresent()) {
            double jitter = random.nextDouble() * RETRY_JITTER.toNanos();
            return availableIn.get().plusNanos((long) jitter);
        }
        double remaining = Math.max(0, mDeadlineNanos - mClock.monotonicTime());
        double longest = Math.min(MAX_RETRY_AFTER_FRACTION * remaining, MAX_RETRY_AFTER.toNanos());
        double part = longest * (0.4 + 0.6 * random.nextDouble());
        return Duration.ofNanos((long) Math.max(part, MIN_RETRY_AFTER.toNanos()));
    }
}
