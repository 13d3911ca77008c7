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
 * The most urgent kind holds its place for long and must begin soon; the least urgent one is short
 * and much asked for. Callers who are refused come back once, when they were told.
 */
class UrgencyOrderTest {
    private static final int SLOTS = 40;
    private static final Duration STEP = Duration.ofMillis(5);
    private static final Duration ONSET = Duration.ofSeconds(3);
    private static final Duration LENGTH = Duration.ofSeconds(20);

    private record Kind(int urgency, int objectiveMs, int holdMs, int patienceMs, double weight) {}

    private static final List<Kind> KINDS =
            List.of(
                    new Kind(0, 400, 1_500, 12_000, 0.3),
                    new Kind(1, 800, 2_000, 15_000, 0.2),
                    new Kind(2, 500, 150, 3_000, 0.5));

    private record Running(AttemptId id, long endNanos) {}

    private record Return(Kind kind, long atNanos, long askedNanos) {}

    private final MockClock mClock = new MockClock();
    private final PoolAdmission mAdmission = PoolAdmission.create(mClock.monotonicTime());
    private final PriorityQueue<Running> mRunning =
            new PriorityQueue<>(Comparator.comparingLong(Running::endNanos));
    private final PriorityQueue<Return> mReturns =
            new PriorityQueue<>(Comparator.comparingLong(Return::atNanos));
    private final int[] mAsked = new int[KINDS.size()];
    private final int[] mSent = new int[KINDS.size()];
    private long mNextId;

    private long now() {
        return mClock.monotonicTime();
    }

    private void ask(Kind kind, long askedNanos) {
        long aim = askedNanos + Duration.ofMillis(kind.objectiveMs()).toNanos();
        long end = askedNanos + Duration.ofMillis(kind.patienceMs()).toNanos();
        var id = AttemptId.of(RequestId.of(0, mNextId++), 1);
        long objective = Duration.ofMillis(kind.objectiveMs()).toNanos();
        var offer = new PoolOffer(id, TeamId.of("a"), kind.urgency(), aim, objective, end);
        switch (mAdmission.offer(offer, now())) {
            case Admission.Admitted admitted -> start(offer);
            case Admission.Queued queued -> {}
            case Admission.Refused refused -> comeBack(offer, refused.retryAfterMillis());
        }
    }

    private void comeBack(PoolOffer offer, long afterMillis) {
        Kind kind = KINDS.get(offer.urgency());
        long asked = offer.aimNanos() - Duration.ofMillis(kind.objectiveMs()).toNanos();
        if (asked > now() - Duration.ofMillis(100).toNanos()) {
            mReturns.add(new Return(kind, now() + Duration.ofMillis(afterMillis).toNanos(), asked));
        }
    }

    private void start(PoolOffer offer) {
        Kind kind = KINDS.get(offer.urgency());
        mSent[kind.urgency()]++;
        mRunning.add(new Running(offer.id(), now() + Duration.ofMillis(kind.holdMs()).toNanos()));
        mAdmission.onFirstPiece(offer.id(), now() - Duration.ofMillis(60).toNanos(), now());
    }

    private void pump() {
        mAdmission.onFill(mRunning.size() / (double) SLOTS);
        PoolStep step = mAdmission.poll(now());
        step.started().forEach(this::start);
        step.givenUp().forEach(over -> comeBack(over.offer(), over.retryAfterMillis()));
    }

    private void play(double load, long seed) {
        mAdmission.onFleet(SLOTS, 1);
        var random = new SplittableRandom(seed);
        double held = KINDS.stream().mapToDouble(k -> k.weight() * k.holdMs()).sum();
        double perStep = load * SLOTS / held * STEP.toMillis();
        for (long ms = 0; ms < LENGTH.toMillis(); ms += STEP.toMillis()) {
            mClock.add(STEP);
            while (!mRunning.isEmpty() && mRunning.peek().endNanos() <= now()) {
                mAdmission.onEnded(mRunning.poll().id(), now());
                pump();
            }
            while (!mReturns.isEmpty() && mReturns.peek().atNanos() <= now()) {
                Return back = mReturns.poll();
                mAdmission.onFill(mRunning.size() / (double) SLOTS);
                ask(back.kind(), back.askedNanos());
            }
            for (var kind : KINDS) {
                if (random.nextDouble() < perStep * kind.weight()) {
                    mAsked[kind.urgency()] += ms > ONSET.toMillis() ? 1 : 0;
                    mAdmission.onFill(mRunning.size() / (double) SLOTS);
                    ask(kind, now());
                }
            }
            pump();
            if (ms <= ONSET.toMillis()) {
                java.util.Arrays.fill(mSent, 0);
            }
        }
    }

    private double share(int urgency) {
        return mSent[urgency] / (double) mAsked[urgency];
    }

    @ParameterizedTest
    @CsvSource({"1.5, 1", "2, 2", "3, 3", "4, 4"})
    void shouldSendNoSmallerPartOfAMoreUrgentKind(double load, long seed) {
        play(load, seed);
        // A twentieth for what is under way at the ends of the look.
        assertThat(share(0), greaterThanOrEqualTo(share(1) - 0.05));
        assertThat(share(1), greaterThanOrEqualTo(share(2) - 0.05));
        double best = Math.max(share(0), Math.max(share(1), share(2)));
        assertThat(share(2), greaterThan(best / 3));
    }

    @ParameterizedTest
    @CsvSource({"0.5, 1", "0.8, 2"})
    void shouldHoldNothingBackWhileThereIsRoom(double load, long seed) {
        play(load, seed);
        for (int urgency = 0; urgency < KINDS.size(); urgency++) {
            assertThat(share(urgency), greaterThan(0.97));
        }
    }
}
