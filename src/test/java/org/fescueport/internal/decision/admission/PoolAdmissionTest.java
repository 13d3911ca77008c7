package org.fescueport.internal.decision.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.micrometer.core.instrument.MockClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.decision.TeamId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PoolAdmissionTest {
    private static final Duration OBJECTIVE = Duration.ofMillis(800);
    private static final Duration TIMEOUT = Duration.ofSeconds(12);
    private static final int SLOTS = 10;
    private static final double FULL_OCCUPANCY = 1.5;

    private final MockClock mClock = new MockClock();
    private final PoolAdmission mAdmission = PoolAdmission.create(now());
    private long mNextId;

    PoolAdmissionTest() {
        mAdmission.onCapacity(SLOTS, 1);
    }

    private long now() {
        return mClock.monotonicTime();
    }

    private PoolOffer offer(String team, int urgency) {
        return offer(team, urgency, Duration.ZERO);
    }

    private PoolOffer offer(String team, int urgency, Duration alreadyWaited) {
        var id = AttemptId.of(RequestId.of(0, mNextId++), 1);
        long objectiveDeadline = now() + OBJECTIVE.minus(alreadyWaited).toNanos();
        long end = now() + TIMEOUT.minus(alreadyWaited).toNanos();
        return new PoolOffer(
                id, TeamId.of(team), urgency, objectiveDeadline, OBJECTIVE.toNanos(), end);
    }

    private AdmissionDecision submit(PoolOffer offer) {
        return mAdmission.offer(offer, now());
    }

    /**
     * Marks the replicas as full and uses up the slots that the node may use regardless of the
     * limit.
     */
    private List<PoolOffer> fillUp() {
        mAdmission.onOccupancy(FULL_OCCUPANCY);
        List<PoolOffer> running = new ArrayList<>();
        for (var next = offer("a", 0); ; next = offer("a", 0)) {
            if (!(submit(next) instanceof AdmissionDecision.Admitted)) {
                mAdmission.cancel(next.id());
                return running;
            }
            running.add(next);
        }
    }

    @Test
    void shouldSendEverythingWhileReplicasHaveRoom() {
        for (int i = 0; i < 500; i++) {
            assertThat(submit(offer("a", 2)), is(new AdmissionDecision.Admitted()));
        }
        assertThat(mAdmission.isLimited(now()), is(false));
    }

    @Test
    void shouldQueueOffersThatCanStillBeInTimeWhileReplicasAreFull() {
        fillUp();
        assertThat(submit(offer("a", 0)), instanceOf(AdmissionDecision.Queued.class));
        assertThat(mAdmission.poll(now()).started(), is(empty()));
    }

    @Test
    void shouldSendAsSoonAsASlotIsFree() {
        var running = fillUp();
        var waiting = offer("a", 0);
        submit(waiting);
        mAdmission.onEnded(running.getFirst().id(), now());
        assertThat(mAdmission.poll(now()).started(), is(List.of(waiting)));
    }

    @Test
    void shouldGuaranteeEachNodeAShareOfTheSlotsWhenReplicasAreFull() {
        assertThat(fillUp().size(), is(greaterThanOrEqualTo(1)));
    }

    @Test
    void shouldRefuseWithARetryTimeWhenTheQueueIsTooLong() {
        fillUp();
        AdmissionDecision last = null;
        for (int i = 0; i < 200; i++) {
            last = submit(offer("a", 0));
        }
        assertThat(last, instanceOf(AdmissionDecision.Refused.class));
        long millis = ((AdmissionDecision.Refused) last).retryAfterMillis();
        assertThat(millis, is(greaterThanOrEqualTo(100L)));
        assertThat(millis, is(lessThanOrEqualTo(4_000L)));
    }

    @Test
    void shouldDropAnOfferThatWaitedTooLong() {
        fillUp();
        var waiting = offer("a", 0);
        submit(waiting);
        List<PoolPollResult.Dropped> dropped = new ArrayList<>();
        for (int i = 0; i < 100 && dropped.isEmpty(); i++) {
            mClock.add(Duration.ofMillis(50));
            dropped.addAll(mAdmission.poll(now()).dropped());
        }
        assertThat(dropped.getFirst().offer(), is(waiting));
        long waited = waiting.objectiveDeadlineNanos() - now();
        assertThat(waited, is(greaterThan(-3 * OBJECTIVE.toNanos())));
    }

    @Test
    void shouldSendLateOffersAfterThoseThatCanBeInTime() {
        var running = fillUp();
        var late = offer("a", 0, Duration.ofSeconds(2));
        var inTime = offer("a", 2);
        submit(late);
        submit(inTime);
        mAdmission.onEnded(running.getFirst().id(), now());
        assertThat(mAdmission.poll(now()).started(), is(List.of(inTime)));
    }

    @Test
    void shouldSendLateOffersOnceThereIsRoom() {
        fillUp();
        var late = offer("a", 0, Duration.ofSeconds(2));
        assertThat(submit(late), instanceOf(AdmissionDecision.Queued.class));
        mAdmission.onOccupancy(0);
        assertThat(mAdmission.poll(now()).started(), is(List.of(late)));
    }

    @Test
    void shouldSendTheEarliestDueOfferFirst() {
        var running = fillUp();
        var fresh = offer("a", 0);
        var returned = offer("a", 0, Duration.ofMillis(200));
        submit(fresh);
        submit(returned);
        mAdmission.onEnded(running.getFirst().id(), now());
        assertThat(mAdmission.poll(now()).started(), is(List.of(returned)));
    }

    @Test
    void shouldDropLateOffersWhileDraining() {
        fillUp();
        var late = offer("a", 0, Duration.ofSeconds(2));
        submit(late);
        mAdmission.beginDrain();
        assertThat(mAdmission.poll(now()).dropped().getFirst().offer(), is(late));
        assertThat(
                submit(offer("a", 0, Duration.ofSeconds(2))),
                instanceOf(AdmissionDecision.Refused.class));
    }

    @Test
    void shouldForgetACancelledOffer() {
        fillUp();
        var waiting = offer("a", 0);
        submit(waiting);
        assertThat(mAdmission.cancel(waiting.id()), is(true));
        assertThat(mAdmission.cancel(waiting.id()), is(false));
        mAdmission.onOccupancy(0);
        assertThat(mAdmission.poll(now()).started(), is(empty()));
    }

    @Test
    void shouldLimitConcurrencyWhenAnswersBeginTooLate() {
        for (int i = 0; i < 100; i++) {
            var slow = offer("a", 0);
            submit(slow);
        }
        answerAll(Duration.ofSeconds(3), 100);
        assertThat(mAdmission.isLimited(now()), is(true));
    }

    private void answerAll(Duration time, int answers) {
        long sent = now();
        mClock.add(time);
        for (int i = 0; i < answers; i++) {
            var id = AttemptId.of(RequestId.of(0, i), 1);
            mAdmission.onFirstByte(id, sent, now());
        }
    }

    /**
     * Offers twice as many requests as one replica can handle, each of which occupies a slot for
     * 200 ms. Returns the number of requests sent for each team and urgency.
     */
    private Map<String, Integer> sentDuringOverload(
            Random random, int millis, List<PoolOffer> kinds) {
        Map<String, Integer> sent = new TreeMap<>();
        Map<AttemptId, Long> ends = new HashMap<>();
        for (int at = 0; at < millis; at += 5) {
            mClock.add(5, TimeUnit.MILLISECONDS);
            mAdmission.onOccupancy(ends.size() / (double) SLOTS);
            ends.entrySet()
                    .removeIf(
                            entry -> {
                                boolean over = entry.getValue() <= now();
                                if (over) {
                                    mAdmission.onEnded(entry.getKey(), now());
                                }
                                return over;
                            });
            var template = kinds.get(random.nextInt(kinds.size()));
            var next = offer(template.team().name(), template.urgency());
            if (at % 10 == 0 && submit(next) instanceof AdmissionDecision.Admitted) {
                start(next, sent, ends);
            }
            mAdmission.onOccupancy(ends.size() / (double) SLOTS);
            for (var started : mAdmission.poll(now()).started()) {
                start(started, sent, ends);
            }
        }
        return sent;
    }

    private void start(PoolOffer offer, Map<String, Integer> sent, Map<AttemptId, Long> ends) {
        ends.put(offer.id(), now() + Duration.ofMillis(200).toNanos());
        sent.merge(offer.team().name() + offer.urgency(), 1, Integer::sum);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void shouldSendEachUrgencyAtLeastAThirdOfTheMostSentInAnOverload(long seed) {
        var kinds = List.of(offer("a", 0), offer("a", 1), offer("a", 2));
        var sent = sentDuringOverload(new Random(seed), 20_000, kinds);
        double most = sent.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
        for (var kind : List.of("a0", "a1", "a2")) {
            assertThat(kind, sent.getOrDefault(kind, 0) / most, is(greaterThan(1.0 / 3)));
        }
        assertThat(sent.get("a0"), is(greaterThan(sent.get("a2"))));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void shouldNotLetABurstOfOneTeamStarveOthers(long seed) {
        List<PoolOffer> kinds = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            kinds.add(offer("loud", 0));
        }
        kinds.add(offer("quiet", 0));
        var sent = sentDuringOverload(new Random(seed), 20_000, kinds);
        double offered = 2_000 / 21.0;
        assertThat(sent.get("quiet0") / offered, is(greaterThan(0.8)));
    }
}
