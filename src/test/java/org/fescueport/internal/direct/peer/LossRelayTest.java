package org.fescueport.internal.direct.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.micrometer.core.instrument.MockClock;
import java.time.Duration;
import java.util.Optional;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.junit.jupiter.api.Test;

class LossRelayTest {
    private final MockClock mClock = new MockClock();
    private final LossRelay mRelay = new LossRelay(mClock);
    private final PeerConnection mFirst = new PeerConnection(null, false);
    private final PeerConnection mSecond = new PeerConnection(null, false);

    private static AgentIncarnation replica(int number) {
        return AgentIncarnation.of(NodeId.of("r" + number), 1);
    }

    private int pending(PeerConnection peer) {
        return mRelay.pendingFor(peer).map(losses -> losses.getReplicas(0).getAnswers()).orElse(0);
    }

    @Test
    void shouldAddUpWhatAPeerHasNotReportedItself() {
        mRelay.add(replica(1), 1, Optional.empty());
        mRelay.add(replica(1), 2, Optional.of(mFirst));
        assertThat(pending(mFirst), is(1));
        assertThat(pending(mSecond), is(3));
        mRelay.clear();
        assertThat(mRelay.isEmpty(), is(true));
        assertThat(pending(mSecond), is(0));
    }

    @Test
    void shouldSendNothingBackToTheOnlySource() {
        mRelay.add(replica(1), 2, Optional.of(mFirst));
        assertThat(mRelay.pendingFor(mFirst).isPresent(), is(false));
    }

    /** Two connections between the same nodes would send a report back and forth forever. */
    @Test
    void shouldEndReportsThatComeBackInACycle() {
        int reported = 1;
        for (int i = 0; reported > 0; i++) {
            assertThat("rounds", i, lessThan(10));
            reported = mRelay.add(replica(1), reported, Optional.of(mFirst));
            mRelay.clear();
        }
        mClock.add(Duration.ofSeconds(3));
        assertThat(mRelay.add(replica(1), 1, Optional.empty()), is(1));
    }

    @Test
    void shouldIgnoreCountsBelowZero() {
        assertThat(mRelay.add(replica(1), -5, Optional.of(mFirst)), is(0));
        assertThat(mRelay.isEmpty(), is(true));
    }
}
