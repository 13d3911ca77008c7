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

/** How much time a request has had and has left. */
final class RequestClock {
    /** Less than this is too little for a replica to do anything with. */
    private static final Duration MIN_TIME_TO_SEND = Duration.ofMillis(40);

    /** Part of the objective after which a repeatable request without an answer goes elsewhere. */
    private static final double RESPONSE_FRACTION_OF_OBJECTIVE = 0.6;

    /** Engines that work are heard far more often; a long prompt alone takes half of this. */
    private static final Duration STREAM_SILENCE_LIMIT = Duration.ofMillis(900);

    /** Callers come back after at most a third of the time that they have left. */
    private static final double MAX_RETRY_AFTER_FRACTION = 0.3;

    /** Callers who are told of a time at which there is room come back within this after it. */
    private static final Duration RETRY_JITTER = Duration.ofMillis(200);

    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);
    private static final Duration MAX_RETRY_AFTER = Duration.ofMillis(1_500);

    private final Clock mClock;
    private final long mStartNanos;
    private final long mDeadlineNanos;
    private final Duration mObjective;

    private RequestClock(Clock clock, long startNanos, long deadlineNanos, Duration objective) {
        mClock = clock;
        mStartNanos = startNanos;
        mDeadlineNanos = deadlineNanos;
        mObjective = objective;
    }

    /** Starts the clock of a request that has just arrived whole. */
    static RequestClock start(Clock clock, Route route, OptionalLong timeoutMillis) {
        long start = clock.monotonicTime();
        long limit = route.timeout().toMillis();
        long time = Math.min(limit, Math.max(0, timeoutMillis.orElse(limit)));
        long end = start + Duration.ofMillis(time).toNanos();
        return new RequestClock(clock, start, end, route.objective());
    }

    boolean isExpired(long nowNanos) {
        return nowNanos - mDeadlineNanos >= 0;
    }

    long elapsedNanos() {
        return mClock.monotonicTime() - mStartNanos;
    }

    long remainingMillis() {
        return Math.max(1, (mDeadlineNanos - mClock.monotonicTime()) / 1_000_000);
    }

    boolean hasTimeToSend() {
        return mDeadlineNanos - mClock.monotonicTime() > MIN_TIME_TO_SEND.toNanos();
    }

    /** Returns how long a replica may be silent before the request goes to another. */
    Duration silenceLimit(RequestKind kind, boolean started) {
        if (kind.isStream()) {
            return STREAM_SILENCE_LIMIT;
        }
        return Duration.ofNanos((long) (RESPONSE_FRACTION_OF_OBJECTIVE * mObjective.toNanos()));
    }

    /** Returns an offer at the gate of a pool. */
    PoolOffer offer(AttemptId id, TeamId team, int urgency) {
        long objective = mObjective.toNanos();
        long aim = mStartNanos + objective;
        return new PoolOffer(id, team, urgency, aim, objective, mDeadlineNanos);
    }

    /** Returns when to come back for who is told of a queue; later ones for the same time. */
    static Duration withJitter(Duration earliest, RandomGenerator random) {
        return Duration.ofNanos((long) (earliest.toNanos() * (1 + random.nextDouble())));
    }

    /**
     * Returns when to come back, spread so that callers do not return all at once.
     *
     * @param availableIn when the first replica takes work again, where all have asked for a pause
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
