package org.fescueport.internal.decision.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.Work;
import org.fescueport.internal.decision.placement.LoadBound;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AdmissionQueueTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final LoadBound BOUND = LoadBound.of(1.25, 400);
    private static final int TOKENS_PER_OFFER = 100;

    private long mNextId = 1;

    /** Returns a queue of a replica on which one request of 100 tokens takes one second. */
    private static AdmissionQueue queue(int maxRunning, int maxQueued) {
        var limits = new AdmissionLimits(maxRunning, maxQueued, BOUND);
        return AdmissionQueue.create(
                limits, ThroughputEstimate.withInitialRates(10_000, TOKENS_PER_OFFER));
    }

    private WorkOffer offer(String team, int priority, int deadlineSeconds) {
        var id = AttemptId.of(RequestId.of(0, mNextId++), 1);
        var work = Work.of(0, TOKENS_PER_OFFER);
        return new WorkOffer(id, TeamId.of(team), 1, priority, deadlineSeconds * SECOND, work, 0);
    }

    private static List<WorkOffer> startOrder(AdmissionQueue queue, WorkOffer running) {
        var order = new ArrayList<WorkOffer>();
        queue.onFinished(running.id());
        for (var result = queue.poll(0); !result.started().isEmpty(); result = queue.poll(0)) {
            order.addAll(result.started());
            queue.onFinished(result.started().getFirst().id());
        }
        return order;
    }

    @Test
    void shouldStartAtOnceWhileSlotsAreFree() {
        var queue = queue(2, 5);
        assertThat(queue.offer(offer("a", 0, 5), 0), is(new AdmissionDecision.Admitted()));
        assertThat(queue.offer(offer("a", 0, 5), 0), is(new AdmissionDecision.Admitted()));
        assertThat(queue.offer(offer("a", 0, 9), 0), instanceOf(AdmissionDecision.Queued.class));
    }

    @Test
    void shouldRefuseOffersThatCannotMeetTheirDeadline() {
        var queue = queue(1, 5);
        queue.offer(offer("a", 0, 1), 0);
        assertThat(queue.offer(offer("a", 0, 3), 0), is(new AdmissionDecision.Queued(1_000)));
        var refused = (AdmissionDecision.Refused) queue.offer(offer("a", 0, 3), 0);
        assertThat(refused.reason(), is(RefusalReason.DEADLINE));
        assertThat(refused.retryAfterMillis(), is(2_000L));
    }

    @Test
    void shouldDropOffersThatCanNoLongerMeetTheirDeadline() {
        var queue = queue(1, 5);
        queue.offer(offer("a", 0, 9), 0);
        var queuedOffer = offer("a", 0, 3);
        queue.offer(queuedOffer, 0);
        assertThat(queue.nextExpiryNanos(), is(SECOND));
        assertThat(queue.poll(SECOND).dropped(), empty());
        var dropped = queue.poll(SECOND + 1).dropped().getFirst();
        assertThat(dropped.offer(), is(queuedOffer));
        assertThat(dropped.reason(), is(RefusalReason.DEADLINE));
        assertThat(queue.queued(), is(0));
    }

    @Test
    void shouldServeUrgentClassesFirst() {
        var queue = queue(1, 9);
        var running = offer("a", 1, 90);
        queue.offer(running, 0);
        var low = offer("a", 1, 90);
        var high = offer("a", 0, 90);
        queue.offer(low, 0);
        queue.offer(high, 0);
        assertThat(startOrder(queue, running), contains(high, low));
    }

    @Test
    void shouldServeEarliestDeadlineFirstInsideATeam() {
        var queue = queue(1, 9);
        var running = offer("a", 0, 90);
        queue.offer(running, 0);
        var late = offer("a", 0, 80);
        var early = offer("a", 0, 40);
        queue.offer(late, 0);
        queue.offer(early, 0);
        assertThat(startOrder(queue, running), contains(early, late));
    }

    @Test
    void shouldInterleaveTeamsDuringABurstOfOne() {
        var queue = queue(1, 9);
        var running = offer("a", 0, 90);
        queue.offer(running, 0);
        var burst1 = offer("a", 0, 90);
        var burst2 = offer("a", 0, 90);
        var other = offer("b", 0, 90);
        queue.offer(burst1, 0);
        queue.offer(burst2, 0);
        queue.offer(other, 0);
        assertThat(startOrder(queue, running).indexOf(other), lessThanOrEqualTo(1));
    }

    @Test
    void shouldLeaveTheLastSlotsToTeamsBelowTheirShare() {
        var queue = queue(8, 20);
        queue.offer(offer("b", 0, 90), 0);
        for (int i = 0; i < 9; i++) {
            queue.offer(offer("a", 0, 90), 0);
        }
        assertThat(queue.running(), is(7));
        assertThat(queue.offer(offer("b", 0, 90), 0), is(new AdmissionDecision.Admitted()));
    }

    @Test
    void shouldRefuseOffersAboveTheLoadBound() {
        var queue = queue(8, 20);
        queue.setPoolMeanTokens(320);
        for (int i = 0; i < 4; i++) {
            assertThat(queue.offer(offer("a", 0, 90), 0), is(new AdmissionDecision.Admitted()));
        }
        var refused = (AdmissionDecision.Refused) queue.offer(offer("a", 0, 90), 0);
        assertThat(refused.reason(), is(RefusalReason.LOAD_BOUND));
        queue.onTokens(AttemptId.of(RequestId.of(0, 1), 1), 99);
        assertThat(queue.load().outstandingTokens(), is(400L));
        queue.onFinished(AttemptId.of(RequestId.of(0, 1), 1));
        assertThat(queue.offer(offer("a", 0, 90), 0), is(new AdmissionDecision.Admitted()));
    }

    @Test
    void shouldAdmitOffersRefusedByMoreLoadedReplicasDespiteAStaleMean() {
        var queue = queue(8, 20);
        queue.setPoolMeanTokens(200);
        for (int i = 0; i < 4; i++) {
            queue.offer(offer("a", 0, 90), 0);
        }
        var plain = offer("a", 0, 90);
        assertThat(queue.offer(plain, 0), instanceOf(AdmissionDecision.Refused.class));
        assertThat(
                queue.offer(refusedElsewhere(399), 0), instanceOf(AdmissionDecision.Refused.class));
        assertThat(queue.offer(refusedElsewhere(400), 0), is(new AdmissionDecision.Admitted()));
    }

    private WorkOffer refusedElsewhere(long leastRefusedTokens) {
        var offer = offer("a", 0, 90);
        return new WorkOffer(
                offer.id(), offer.team(), 1, 0, 90 * SECOND, offer.work(), leastRefusedTokens);
    }

    @Test
    void shouldDisplaceTheTeamWithTheLargestBacklog() {
        var queue = queue(1, 3);
        for (int i = 0; i < 4; i++) {
            queue.offer(offer("a", 0, 90 + i), 0);
        }
        assertThat(queue.offer(offer("b", 0, 95), 0), instanceOf(AdmissionDecision.Queued.class));
        var dropped = queue.poll(0).dropped().getFirst();
        assertThat(dropped.reason(), is(RefusalReason.DISPLACED));
        assertThat(dropped.offer().deadlineNanos(), is(93 * SECOND));
        var own = (AdmissionDecision.Refused) queue.offer(offer("a", 0, 95), 0);
        assertThat(own.reason(), is(RefusalReason.QUEUE_FULL));
    }

    @Test
    void shouldDisplaceALowerPriorityClass() {
        var queue = queue(1, 1);
        queue.offer(offer("a", 1, 90), 0);
        var low = offer("a", 1, 90);
        queue.offer(low, 0);
        assertThat(queue.offer(offer("a", 0, 90), 0), instanceOf(AdmissionDecision.Queued.class));
        assertThat(queue.poll(0).dropped().getFirst().offer(), is(low));
    }

    @Test
    void shouldRefuseNewOffersWhileDraining() {
        var queue = queue(1, 1);
        queue.beginDrain();
        var refused = (AdmissionDecision.Refused) queue.offer(offer("a", 0, 90), 0);
        assertThat(refused.reason(), is(RefusalReason.LEAVING));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void shouldGiveEachOfferOneOutcomeInRandomRuns(long seed) {
        var random = new Random(seed);
        var queue = queue(4, 10);
        var open = new HashSet<AttemptId>();
        var running = new ArrayList<AttemptId>();
        var starts = new HashMap<String, Integer>();
        long now = 0;
        for (int i = 0; i < 20_000; i++) {
            now += random.nextInt(200) * 1_000_000L;
            queue.setPoolMeanTokens(300 + random.nextInt(600));
            var offer = offer("t" + random.nextInt(4), random.nextInt(3), 0);
            offer = withDeadline(offer, now + (1 + random.nextInt(8)) * SECOND);
            switch (queue.offer(offer, now)) {
                case AdmissionDecision.Admitted admitted -> running.add(offer.id());
                case AdmissionDecision.Queued queued -> open.add(offer.id());
                case AdmissionDecision.Refused refused ->
                        assertThat(refused.retryAfterMillis(), greaterThan(0L));
            }
            if (random.nextInt(3) == 0 && !running.isEmpty()) {
                queue.onFinished(running.remove(random.nextInt(running.size())));
            }
            var result = queue.poll(now);
            for (var droppedOffer : result.dropped()) {
                assertThat(open.remove(droppedOffer.offer().id()), is(true));
            }
            for (var started : result.started()) {
                assertThat(open.remove(started.id()), is(true));
                running.add(started.id());
                starts.merge(started.team().name(), 1, Integer::sum);
            }
            assertThat(queue.running(), allOf(is(running.size()), lessThanOrEqualTo(4)));
            assertThat(queue.queued(), is(open.size()));
        }
        assertThat(starts.size(), is(4));
    }

    private static WorkOffer withDeadline(WorkOffer offer, long deadlineNanos) {
        return new WorkOffer(
                offer.id(),
                offer.team(),
                offer.teamWeight(),
                offer.priority(),
                deadlineNanos,
                offer.work(),
                0);
    }
}
