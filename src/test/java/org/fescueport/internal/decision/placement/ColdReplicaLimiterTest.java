package org.fescueport.internal.decision.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** All nodes always have more requests for a cold replica than it can handle. */
class ColdReplicaLimiterTest {
    private static final double COLD_REQUESTS_PER_SECOND = 10;

    /** Number of requests that users allow a cold replica to receive in any one second. */
    private static final int MAX_IN_ANY_SECOND = (int) (1.5 * COLD_REQUESTS_PER_SECOND + 5);

    private static final int SECONDS = 30;
    private static final int SEEDS = 50;
    private static final AgentIncarnation INCARNATION = AgentIncarnation.of(NodeId.of("r1"), 1);

    /**
     * Returns the times, in milliseconds, at which requests are sent to the replica; each node has
     * a request to send every 7 ms.
     *
     * @param announcedNodes number of nodes that is reported to each limiter; 0 for unknown
     */
    private static List<Long> simulate(int nodes, int announcedNodes, long seed) {
        var random = new SplittableRandom(seed);
        List<ColdReplicaLimiter> all = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            all.add(ColdReplicaLimiter.create(random.split()));
            all.getLast().onNodes(announcedNodes);
        }
        List<Long> sent = new ArrayList<>();
        for (long millis = 0; millis < SECONDS * 1_000; millis += 7) {
            for (var limiter : all) {
                long now = Duration.ofMillis(millis).toNanos();
                if (limiter.maySend(INCARNATION, COLD_REQUESTS_PER_SECOND, now)) {
                    limiter.onSent(INCARNATION);
                    sent.add(millis);
                }
            }
        }
        return sent;
    }

    private static int maxInAnySecond(List<Long> sent) {
        Deque<Long> window = new ArrayDeque<>();
        int highest = 0;
        for (long at : sent) {
            window.add(at);
            while (at - window.getFirst() >= 1_000) {
                window.removeFirst();
            }
            highest = Math.max(highest, window.size());
        }
        return highest;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4, 26, 33, 330})
    void shouldStayWithinTheRateOfAColdReplicaAcrossAllNodes(int nodes) {
        for (int seed = 0; seed < SEEDS; seed++) {
            var sent = simulate(nodes, nodes, seed);
            assertThat("seed " + seed, maxInAnySecond(sent), lessThanOrEqualTo(MAX_IN_ANY_SECOND));
            assertThat("seed " + seed, sent.size(), greaterThan(SECONDS * 3));
        }
    }

    @ParameterizedTest
    @CsvSource({"26, 33", "33, 330", "4, 26"})
    void shouldStayWithinTheRateWhileSomeNodesAreMissing(int nodes, int announcedNodes) {
        for (int seed = 0; seed < SEEDS; seed++) {
            assertThat(
                    maxInAnySecond(simulate(nodes, announcedNodes, seed)),
                    lessThanOrEqualTo(MAX_IN_ANY_SECOND));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 33, 330})
    void shouldStayWithinTheRateWhileTheNodeCountIsUnknown(int nodes) {
        for (int seed = 0; seed < SEEDS; seed++) {
            assertThat(
                    maxInAnySecond(simulate(nodes, 0, seed)), lessThanOrEqualTo(MAX_IN_ANY_SECOND));
        }
    }

    @Test
    void shouldNotRaiseItsShareWhenNodesDisappear() {
        var partitioned = ColdReplicaLimiter.create(new SplittableRandom(1));
        partitioned.onNodes(33);
        partitioned.onNodes(1);
        int granted = 0;
        for (int i = 0; i < 1_000; i++) {
            granted +=
                    partitioned.maySend(
                                    INCARNATION,
                                    COLD_REQUESTS_PER_SECOND,
                                    Duration.ofMillis(100L * i).toNanos())
                            ? 1
                            : 0;
        }
        assertThat(granted, lessThanOrEqualTo(40));
    }

    @Test
    void shouldSendOneRequestPerSlot() {
        var single = ColdReplicaLimiter.create(new SplittableRandom(1));
        single.onNodes(1);
        long now = 0;
        while (!single.maySend(INCARNATION, COLD_REQUESTS_PER_SECOND, now)) {
            now += Duration.ofMillis(100).toNanos();
        }
        single.onSent(INCARNATION);
        assertThat(single.maySend(INCARNATION, COLD_REQUESTS_PER_SECOND, now), is(false));
    }
}
