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
    private static final int TOKENS = 100;

    private long mNextId = 1;

    /** One request of 100 tokens takes a second. */
    private static AdmissionQueue queue(int maxRunning, int maxQueued) {
        var limits = new AdmissionLimits(maxRunning, maxQueued, BOUND);
        return AdmissionQueue.create(limits, Speeds.startingAt(10_000, TOKENS));
    }

    private WorkOffer offer(String team, int priority, int deadlineSeconds) {
        var id = AttemptId.of(RequestId.of(0, mNextId++), 1);
        var work = Work.of(0, TOKENS);
        return new WorkOffer(id, TeamId.of(team), 1, priority, deadlineSeconds * SECOND, work, 0);
    }

    private static List<WorkOffer> runInTurn(AdmissionQueue queue, WorkOffer running) {
        var order = new ArrayList<WorkOffer>();
        queue.onFinished(running.id());
        for (var step = queue.poll(0); !step.started().isEmpty(); step = queue.poll(0)) {
            order.addAll(step.started());
            queue.onFinished(step.started().getFirst().id());
        }
        return order;
    }

    @Test
    void shouldStartAtOnceWhileSlotsAreFree() {
        var queue = queue(2, 5);
        assertThat(queue.offer(offer("a", 0, 5), 0), is(new Admission.Admitted()));
        assertThat(queue.offer(offer("a", 0, 5), 0), is(new Admission.Admitted()));
        assertThat(queue.offer(offer("a", 0, 9), 0), instanceOf(Admission.Queued.class));
    }

    @Test
    void shouldRefuseAtOnceWhatCannotMeetItsDeadline() {
        var queue = queue(1, 5);
        queue.offer(offer("a", 0, 1), 0);
        assertThat(queue.offer(offer("a", 0, 3), 0), is(new Admission.Queued(1_000)));
        var refused = (Admission.Refused) queue.offer(offer("a", 0, 3), 0);
        assertThat(refused.reason(), is(RefusalReason.DEADLINE));
        assertThat(refused.retryAfterMillis(), is(2_000L));
    }

    @Test
    void shouldGiveUpWhatTurnedHopeless() {
        var queue = queue(1, 5);
        queue.offer(offer("a", 0, 9), 0);
        var waits = offer("a", 0, 3);
        queue.offer(waits, 0);
        assertThat(queue.nextExpiryNanos(), is(SECOND));
        assertThat(queue.poll(SECOND).givenUp(), empty());
        var givenUp = queue.poll(SECOND + 1).givenUp().getFirst();
        assertThat(givenUp.offer(), is(waits));
        assertThat(givenUp.reason(), is(RefusalReason.DEADLINE));
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
        assertThat(runInTurn(queue, running), contains(high, low));
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
        assertThat(runInTurn(queue, running), contains(early, late));
    }

    @Test
    void shouldServeTeamsInTurnThoughOneSurges() {
        var queue = queue(1, 9);
        var running = offer("a", 0, 90);
        queue.offer(running, 0);
        var surge1 = offer("a", 0, 90);
        var surge2 = offer("a", 0, 90);
        var other = offer("b", 0, 90);
        queue.offer(surge1, 0);
        queue.offer(surge2, 0);
        queue.offer(other, 0);
        assertThat(runInTurn(queue, running).indexOf(other), lessThanOrEqualTo(1));
    }

    @Test
    void shouldLeaveTheLastSlotsToTeamsBelowTheirShare() {
        var queue = queue(8, 20);
        queue.offer(offer("b", 0, 90), 0);
        for (int i = 0; i < 9; i++) {
            queue.offer(offer("a", 0, 90), 0);
        }
        assertThat(queue.running(), is(7));
        assertThat(queue.offer(offer("b", 0, 90), 0), is(new Admission.Admitted()));
    }

    @Test
    void shouldRefuseAboveTheBound() {
        var queue = queue(8, 20);
        queue.setMean(320);
        for (int i = 0; i < 4; i++) {
            assertThat(queue.offer(offer("a", 0, 90), 0), is(new Admission.Admitted()));
        }
        var refused = (Admission.Refused) queue.offer(offer("a", 0, 90), 0);
        assertThat(refused.reason(), is(RefusalReason.LOAD_BOUND));
        queue.onTokens(AttemptId.of(RequestId.of(0, 1), 1), 99);
        assertThat(queue.load().outstandingTokens(), is(400L));
        queue.onFinished(AttemptId.of(RequestId.of(0, 1), 1));
        assertThat(queue.offer(offer("a", 0, 90), 0), is(new Admission.Admitted()));
    }

    @Test
    void shouldTakeWhatMoreLoadedReplicasRefusedThoughTheMeanIsOld() {
        var queue = queue(8, 20);
        queue.setMean(200);
        for (int i = 0; i < 4; i++) {
            queue.offer(offer("a", 0, 90), 0);
        }
        var plain = offer("a", 0, 90);
        assertThat(queue.offer(plain, 0), instanceOf(Admission.Refused.class));
        assertThat(queue.offer(refusedElsewhere(399), 0), instanceOf(Admission.Refused.class));
        assertThat(queue.offer(refusedElsewhere(400), 0), is(new Admission.Admitted()));
    }

    private WorkOffer refusedElsewhere(long leastRefusedTokens) {
        var offer = offer("a", 0, 90);
        return new WorkOffer(
                offer.id(), offer.team(), 1, 0, 90 * SECOND, offer.work(), leastRefusedTokens);
    }

    @Test
    void shouldDisplaceASurgingTeamForAnother() {
        var queue = queue(1, 3);
        for (int i = 0; i < 4; i++) {
            queue.offer(offer("a", 0, 90 + i), 0);
        }
        assertThat(queue.offer(offer("b", 0, 95), 0), instanceOf(Admission.Queued.class));
        var givenUp = queue.poll(0).givenUp().getFirst();
        assertThat(givenUp.reason(), is(RefusalReason.DISPLACED));
        assertThat(givenUp.offer().deadlineNanos(), is(93 * SECOND));
        var own = (Admission.Refused) queue.offer(offer("a", 0, 95), 0);
        assertThat(own.reason(), is(RefusalReason.QUEUE_FULL));
    }

    @Test
    void shouldDisplaceALowerClass() {
        var queue = queue(1, 1);
        queue.offer(offer("a", 1, 90), 0);
        var low = offer("a", 1, 90);
        queue.offer(low, 0);
        assertThat(queue.offer(offer("a", 0, 90), 0), instanceOf(Admission.Queued.class));
        assertThat(queue.poll(0).givenUp().getFirst().offer(), is(low));
    }

    @Test
    void shouldTakeNothingNewWhenLeaving() {
        var queue = queue(1, 1);
        queue.leave();
        var refused = (Admission.Refused) queue.offer(offer("a", 0, 90), 0);
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
            queue.setMean(300 + random.nextInt(600));
            var offer = offer("t" + random.nextInt(4), random.nextInt(3), 0);
            offer = withDeadline(offer, now + (1 + random.nextInt(8)) * SECOND);
            switch (queue.offer(offer, now)) {
                case Admission.Admitted admitted -> running.add(offer.id());
                case Admission.Queued queued -> open.add(offer.id());
                case Admission.Refused refused ->
                        assertThat(refused.retryAfterMillis(), greaterThan(0L));
            }
            if (random.nextInt(3) == 0 && !running.isEmpty()) {
                queue.onFinished(running.remove(random.nextInt(running.size())));
            }
            var step = queue.poll(now);
            for (var given : step.givenUp()) {
                assertThat(open.remove(given.offer().id()), is(true));
            }
            for (var started : step.started()) {
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
