package org.fescueport.internal.decision.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.NodeId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ReplicaSpeedsTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final NodeId SLOW = NodeId.of("r1");

    private final ReplicaSet mSet = Replicas.set(8);
    private final ReplicaSpeeds mSpeeds = ReplicaSpeeds.create();

    /** All replicas report in turn for 10 s; the figures change by 2.5 times each 600 ms. */
    private void reportFlickering(int slowPercent) {
        for (long at = 0; at < 10_000; at += 100) {
            for (int i = 0; i < mSet.size(); i++) {
                var node = mSet.replica(i).node();
                boolean high = (at / 600 + i) % 2 == 0;
                int percent = node.equals(SLOW) ? slowPercent : 100;
                mSpeeds.onReport(node, high ? percent * 5 / 2 : percent, at * MILLI);
            }
        }
    }

    private double slowness(NodeId node) {
        return mSpeeds.slowness(mSet, 10_000 * MILLI).of(node);
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 400, 800})
    void shouldSmoothReportsThatFlicker(int percent) {
        reportFlickering(percent);
        for (var replica : mSet.replicas()) {
            double expected = replica.node().equals(SLOW) ? percent / 100.0 : 1;
            assertThat(slowness(replica.node()), is(expected));
        }
    }

    @Test
    void shouldFindASlowReplicaThatReportsTheUsualSpeed() {
        reportFlickering(100);
        for (int i = 0; i < 30 * mSet.size(); i++) {
            var node = mSet.replica(i % mSet.size()).node();
            long nanos = (node.equals(SLOW) ? 400 : 100) * MILLI;
            mSpeeds.onWork(node, "a", 0, nanos, 10_000 * MILLI);
        }
        assertThat(slowness(SLOW), is(4.0));
        assertThat(slowness(NodeId.of("r2")), is(1.0));
        assertThat(mSpeeds.slowReplicas(), is(1));
    }

    @Test
    void shouldTakeEveryReplicaForUsualWhereNoneReports() {
        for (int i = 0; i < 30 * mSet.size(); i++) {
            var node = mSet.replica(i % mSet.size()).node();
            mSpeeds.onWork(node, "a", 0, (node.equals(SLOW) ? 400 : 100) * MILLI, 0);
        }
        assertThat(mSpeeds.isAnyReported(), is(false));
        assertThat(slowness(SLOW), is(1.0));
    }
}
