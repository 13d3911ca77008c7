package org.fescueport.internal.decision.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import org.fescueport.internal.decision.NodeId;
import org.junit.jupiter.api.Test;

class ReplicaLoadsTest {
    private static final NodeId REPLICA = NodeId.of("r");
    private static final long LONG = Duration.ofMinutes(1).toNanos();

    private final ReplicaLoads mLoads = ReplicaLoads.create();

    private void send(int requests) {
        for (int i = 0; i < requests; i++) {
            mLoads.onSent(REPLICA);
        }
    }

    @Test
    void shouldCountRequestsOfOtherNodesUntilTheReportExpires() {
        send(1);
        mLoads.onReport(REPLICA, 20, 0);
        mLoads.onEnded(REPLICA);
        assertThat(mLoads.inFlight(REPLICA, 1), is(19));
        assertThat(mLoads.inFlight(REPLICA, LONG), is(0));
    }

    /** An overloaded replica responds late; it must not be regarded as idle while it does. */
    @Test
    void shouldKeepTheReportWhileARequestIsInFlight() {
        send(1);
        mLoads.onReport(REPLICA, 20, 0);
        assertThat(mLoads.inFlight(REPLICA, LONG), is(20));
    }

    @Test
    void shouldAssumeThatOtherNodesHaveAsManyNewRequestsInFlight() {
        mLoads.onNodes(10);
        send(1);
        mLoads.onReport(REPLICA, 5, 0);
        send(1);
        assertThat(mLoads.inFlight(REPLICA, 1), is(2 + 4));
        send(2);
        assertThat(mLoads.inFlight(REPLICA, 1), is(4 + 4 + 2 * 9));
        mLoads.onReport(REPLICA, 12, 2);
        assertThat(mLoads.inFlight(REPLICA, 3), is(12));
    }

    @Test
    void shouldCountOnlyOwnRequestsWithoutOtherNodes() {
        send(7);
        assertThat(mLoads.inFlight(REPLICA, 0), is(7));
    }
}
