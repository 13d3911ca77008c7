package org.fescueport.internal.direct.place;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.micrometer.core.instrument.MockClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.fescueport.internal.decision.PoolId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryBudgetsTest {
    private static final PoolId POOL = PoolId.of("llm");
    private static final double SHARE = 0.2;
    private static final double ALLOWANCE = 56;
    private static final int UNKNOWN_NODES = 8;
    private static final int STEPS_PER_SECOND = 10;
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final int WINDOW_STEPS = 10 * STEPS_PER_SECOND;

    /** All nodes of a fleet; each tries to retry every request that fails. */
    private static final class Fleet {
        private final MockClock mClock = new MockClock();
        private final SplittableRandom mRandom;
        private final List<RetryBudgets> mNodes = new ArrayList<>();
        private final List<Integer> mRequests = new ArrayList<>();
        private final List<Integer> mRetries = new ArrayList<>();

        Fleet(long seed, int nodes) {
            mRandom = new SplittableRandom(seed);
            for (int i = 0; i < nodes; i++) {
                mNodes.add(newNode());
            }
            updateNodeCounts();
        }

        RetryBudgets newNode() {
            return RetryBudgets.create(SHARE, ALLOWANCE, WINDOW, UNKNOWN_NODES, mClock);
        }

        void addNode() {
            mNodes.add(newNode());
            updateNodeCounts();
        }

        void restart(double part) {
            for (int i = 0; i < mNodes.size(); i++) {
                if (mRandom.nextDouble() < part) {
                    mNodes.set(i, newNode());
                }
            }
            updateNodeCounts();
        }

        void reload() {
            mNodes.forEach(node -> node.onLimits(SHARE, ALLOWANCE + 1));
            mNodes.forEach(node -> node.onLimits(SHARE, ALLOWANCE));
        }

        void step(int requests, boolean failing) {
            mClock.add(WINDOW.dividedBy(WINDOW_STEPS));
            int retries = 0;
            for (int i = 0; i < requests; i++) {
                // The first nodes get more requests than the last ones.
                int node = (int) (mNodes.size() * mRandom.nextDouble() * mRandom.nextDouble());
                mNodes.get(node).onRequest(POOL);
                if (failing && mNodes.get(node).tryAcquireRetry(POOL)) {
                    retries++;
                }
            }
            mRequests.add(requests);
            mRetries.add(retries);
        }

        /**
         * Returns by how much the retries of any window exceed the fleet's limit at most; negative
         * if they stay below it.
         */
        double maxExcess() {
            double worst = Double.NEGATIVE_INFINITY;
            for (int end = WINDOW_STEPS; end <= mRetries.size(); end++) {
                double requests = sum(mRequests, end);
                worst = Math.max(worst, sum(mRetries, end) - SHARE * requests - ALLOWANCE);
            }
            return worst;
        }

        private void updateNodeCounts() {
            mNodes.forEach(node -> node.onNodes(mNodes.size()));
        }

        private static int sum(List<Integer> steps, int end) {
            return steps.subList(end - WINDOW_STEPS, end).stream().mapToInt(n -> n).sum();
        }
    }

    @ParameterizedTest
    @CsvSource({"5, 10, 1", "5, 10, 2", "5, 1, 3", "32, 60, 4", "23, 3, 5"})
    void shouldStayWithinTheFleetLimitInEveryWindowWhileNodesJoinAndRestart(
            int nodes, int requests, long seed) {
        var random = new SplittableRandom(seed);
        var fleet = new Fleet(seed, nodes);
        for (int step = 0; step < 120 * STEPS_PER_SECOND; step++) {
            fleet.step(requests, step % 300 > 100);
            switch (random.nextInt(100)) {
                case 0 -> fleet.addNode();
                case 1 -> fleet.restart(1);
                case 2 -> fleet.restart(0.3);
                case 3 -> fleet.reload();
                default -> {}
            }
        }
        assertThat(fleet.maxExcess(), is(lessThanOrEqualTo(0.0)));
    }

    /**
     * A quarter of all requests fail for four seconds after calm times, as when most replicas of a
     * pool return errors.
     */
    @Test
    void shouldRetryMostFailuresOfAShortBurst() {
        var fleet = new Fleet(7, 26);
        fleet.mNodes.forEach(node -> node.onLimits(SHARE, 92));
        for (int step = 0; step < 2 * WINDOW_STEPS; step++) {
            fleet.step(15, false);
        }
        int failures = 0;
        int retries = 0;
        for (int step = 0; step < 4 * STEPS_PER_SECOND; step++) {
            fleet.step(11, false);
            fleet.step(4, true);
            failures += 4;
            retries += fleet.mRetries.getLast();
        }
        assertThat((double) retries / failures, is(greaterThan(0.9)));
    }

    @Test
    void shouldAllowRetriesForAServiceWithFewRequests() {
        var fleet = new Fleet(1, 5);
        var node = fleet.mNodes.getFirst();
        for (int window = 0; window < 3; window++) {
            for (int step = 0; step < WINDOW_STEPS; step++) {
                fleet.step(0, false);
            }
            node.onRequest(POOL);
            assertThat("window " + window, node.tryAcquireRetry(POOL), is(true));
            assertThat("window " + window, node.tryAcquireRetry(POOL), is(true));
        }
    }
}
