package org.fescueport.internal.decision.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class KeepAliveLimitTest {
    private static final int MAX_CONNECTIONS = 220;
    private static final int IDLE_TIMEOUT_MS = 15_000;
    private static final int RESPONSE_MS = 120;

    /**
     * Nodes with about 25 requests a second to one replica, of which each lasts a while, and bursts
     * of three times as many.
     */
    @ParameterizedTest
    @CsvSource({"5, 1", "26, 2", "100, 3", "300, 4", "1000, 5"})
    void shouldKeepTheConnectionsOfAllNodesWithinWhatAReplicaAccepts(int nodes, long seed) {
        var random = new SplittableRandom(seed);
        List<Deque<Integer>> idleUntil = new ArrayList<>();
        List<Deque<Integer>> busyUntil = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            idleUntil.add(new ArrayDeque<>());
            busyUntil.add(new ArrayDeque<>());
        }
        int most = 0;
        int opened = 0;
        int requests = 0;
        for (int now = 0; now < 60_000; now += 10) {
            int open = 0;
            for (int i = 0; i < nodes; i++) {
                Deque<Integer> idle = idleUntil.get(i);
                Deque<Integer> busy = busyUntil.get(i);
                while (!idle.isEmpty() && idle.peekLast() <= now) {
                    idle.pollLast();
                }
                while (!busy.isEmpty() && busy.peekFirst() <= now) {
                    busy.pollFirst();
                    if (KeepAliveLimit.mayKeep(idle.size(), MAX_CONNECTIONS, nodes, random)) {
                        idle.addFirst(now + IDLE_TIMEOUT_MS);
                    }
                }
                open += idle.size() + busy.size();
            }
            most = Math.max(most, open);
            int sent = random.nextInt(now / 10_000 % 2 == 0 ? 1 : 2) + (now % 40 == 0 ? 1 : 0);
            for (int i = 0; i < sent; i++) {
                int node = random.nextInt(nodes);
                opened += idleUntil.get(node).pollFirst() == null ? 1 : 0;
                busyUntil.get(node).addLast(now + RESPONSE_MS);
                requests++;
            }
        }
        assertThat(most, is(lessThanOrEqualTo(MAX_CONNECTIONS)));
        assertThat(most, is(greaterThan(0)));
        if (nodes <= 26) {
            assertThat("reused", (double) opened / requests, is(lessThan(0.2)));
        }
    }

    @Test
    void shouldKeepAWholeNumberOfConnectionsForSure() {
        var random = new SplittableRandom(1);
        for (int i = 0; i < 100; i++) {
            assertThat(KeepAliveLimit.mayKeep(9, 100, 5, random), is(true));
            assertThat(KeepAliveLimit.mayKeep(10, 100, 5, random), is(false));
        }
    }
}
