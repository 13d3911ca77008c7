package org.fescueport.internal.decision.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import io.micrometer.core.instrument.MockClock;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.decision.TeamId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against less urgent requests being sent in a larger fraction than more urgent ones in an
 * overload. The most urgent kind occupies a slot for a long time and must begin soon; the least
 * urgent one is short and frequent. A refused caller retries once, after the time that it was
 * given.
 */
class UrgencyOrderTest {
    private static final int SLOTS = 40;
    private static final Duration STEP = Duration.ofMillis(5);
    private static final Duration WARM_UP = Duration.ofSeconds(3);
    private static final Duration DURATION = Duration.ofSeconds(20);

    private record Kind(
            int urgency, int objectiveMs, int serviceMs, int timeoutMs, double weight) {}

    private static final List<Kind> KINDS =
            List.of(
                    new Kind(0, 400, 1_500, 12_000, 0.3),
                    new Kind(1, 800, 2_000, 15_000, 0.2),
                    new Kind(2, 500, 150, 3_000, 0.5));

    private record Running(AttemptId id, long endNanos) {}

    private record Retry(Kind kind, long atNanos, long arrivedNanos) {}

    private final MockClock mClock = new MockClock();
    private final PoolAdmission mAdmission = PoolAdmission.create(mClock.monotonicTime());
    private final PriorityQueue<Running> mRunning =
            new PriorityQueue<>(Comparator.comparingLong(Running::endNanos));
    private final PriorityQueue<Retry> mRetries =
            new PriorityQueue<>(Comparator.comparingLong(Retry::atNanos));
    private final int[] mArrived = new int[KINDS.size()];
    private final int[] mSent = new int[KINDS.size()];
    private long mNextId;

    private long now() {
        return mClock.monotonicTime();
    }

    private void submit(Kind kind, long arrivedNanos) {
        long objectiveDeadline = arrivedNanos + Duration.ofMillis(kind.objectiveMs()).toNanos();
        long end = arrivedNanos + Duration.ofMillis(kind.timeoutMs()).toNanos();
        var id = AttemptId.of(RequestId.of(0, mNextId++), 1);
        long objective = Duration.ofMillis(kind.objectiveMs()).toNanos();
        var offer =
                new PoolOffer(
                        id, TeamId.of("a"), kind.urgency(), objectiveDeadline, objective, end);
        switch (mAdmission.offer(offer, now())) {
            case AdmissionDecision.Admitted admitted -> start(offer);
            case AdmissionDecision.Queued queued -> {}
            case AdmissionDecision.Refused refused ->
                    scheduleRetry(offer, refused.retryAfterMillis());
        }
    }

    private void scheduleRetry(PoolOffer offer, long afterMillis) {
        Kind kind = KINDS.get(offer.urgency());
        long arrivalNanos =
                offer.objectiveDeadlineNanos() - Duration.ofMillis(kind.objectiveMs()).toNanos();
        if (arrivalNanos > now() - Duration.ofMillis(100).toNanos()) {
            mRetries.add(
                    new Retry(
                            kind, now() + Duration.ofMillis(afterMillis).toNanos(), arrivalNanos));
        }
    }

    private void start(PoolOffer offer) {
        Kind kind = KINDS.get(offer.urgency());
        mSent[kind.urgency()]++;
        mRunning.add(
                new Running(offer.id(), now() + Duration.ofMillis(kind.serviceMs()).toNanos()));
        mAdmission.onFirstByte(offer.id(), now() - Duration.ofMillis(60).toNanos(), now());
    }

    private void pollAdmission() {
        mAdmission.onOccupancy(mRunning.size() / (double) SLOTS);
        PoolPollResult result = mAdmission.poll(now());
        result.started().forEach(this::start);
        result.dropped()
                .forEach(
                        droppedOffer ->
                                scheduleRetry(
                                        droppedOffer.offer(), droppedOffer.retryAfterMillis()));
    }

    private void simulate(double load, long seed) {
        mAdmission.onCapacity(SLOTS, 1);
        var random = new SplittableRandom(seed);
        double held = KINDS.stream().mapToDouble(k -> k.weight() * k.serviceMs()).sum();
        double arrivalsPerStep = load * SLOTS / held * STEP.toMillis();
        for (long ms = 0; ms < DURATION.toMillis(); ms += STEP.toMillis()) {
            mClock.add(STEP);
            while (!mRunning.isEmpty() && mRunning.peek().endNanos() <= now()) {
                mAdmission.onEnded(mRunning.poll().id(), now());
                pollAdmission();
            }
            while (!mRetries.isEmpty() && mRetries.peek().atNanos() <= now()) {
                Retry retry = mRetries.poll();
                mAdmission.onOccupancy(mRunning.size() / (double) SLOTS);
                submit(retry.kind(), retry.arrivedNanos());
            }
            for (var kind : KINDS) {
                if (random.nextDouble() < arrivalsPerStep * kind.weight()) {
                    mArrived[kind.urgency()] += ms > WARM_UP.toMillis() ? 1 : 0;
                    mAdmission.onOccupancy(mRunning.size() / (double) SLOTS);
                    submit(kind, now());
                }
            }
            pollAdmission();
            if (ms <= WARM_UP.toMillis()) {
                java.util.Arrays.fill(mSent, 0);
            }
        }
    }

    private double share(int urgency) {
        return mSent[urgency] / (double) mArrived[urgency];
    }

    @ParameterizedTest
    @CsvSource({"1.5, 1", "2, 2", "3, 3", "4, 4"})
    void shouldSendAtLeastAsLargeAFractionOfMoreUrgentKinds(double load, long seed) {
        simulate(load, seed);
        // Tolerates 0.05 for requests under way at the start and end of the measured period.
        assertThat(share(0), greaterThanOrEqualTo(share(1) - 0.05));
        assertThat(share(1), greaterThanOrEqualTo(share(2) - 0.05));
        double best = Math.max(share(0), Math.max(share(1), share(2)));
        assertThat(share(2), greaterThan(best / 3));
    }

    @ParameterizedTest
    @CsvSource({"0.5, 1", "0.8, 2"})
    void shouldNotHoldRequestsBackBelowCapacity(double load, long seed) {
        simulate(load, seed);
        for (int urgency = 0; urgency < KINDS.size(); urgency++) {
            assertThat(share(urgency), greaterThan(0.97));
        }
    }
}
