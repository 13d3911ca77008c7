package org.fescueport.internal.direct.place;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.claim.ContentHash;
import org.fescueport.internal.decision.poison.Fingerprint;
import org.fescueport.internal.direct.state.ColdTime;
import org.fescueport.internal.direct.state.ReplicaEntry;
import org.junit.jupiter.api.Test;

class CrashWatchTest {
    private static final Fingerprint REQUEST =
            Fingerprint.of(TeamId.of("team"), ContentHash.of(1, 2));
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final CrashWatch mWatch = CrashWatch.create();
    private final List<String> mStrikes = new ArrayList<>();

    CrashWatchTest() {
        mWatch.listen(
                new CrashWatch.Listener() {
                    @Override
                    public void onStrike(Fingerprint request, AgentIncarnation replica) {
                        mStrikes.add(replica.node().name());
                    }

                    @Override
                    public void onCleared(Fingerprint request) {
                        mStrikes.add("cleared");
                    }
                });
    }

    private static ReplicaEntry replica(String id) {
        return new ReplicaEntry(
                NodeId.of(id),
                PoolId.of("llm"),
                new InetSocketAddress(80),
                FailureDomain.of("north"),
                8,
                false,
                1,
                0,
                ColdTime.none());
    }

    private void crash(String id, long atNanos) {
        mWatch.onLost(REQUEST, replica(id), atNanos);
        mWatch.onUnreachable(replica(id), atNanos + SECOND);
    }

    @Test
    void shouldRefuseARequestThatTwoReplicasDiedOf() {
        crash("a", 0);
        assertThat(mWatch.isPoison(REQUEST, 2 * SECOND), is(false));
        crash("b", 2 * SECOND);
        assertThat(mWatch.isPoison(REQUEST, 4 * SECOND), is(true));
        assertThat(mStrikes, is(List.of("a", "b")));
    }

    @Test
    void shouldClearARequestThatIsAnsweredAlthoughReplicasDiedWithIt() {
        crash("a", 0);
        crash("b", 0);
        mWatch.onSucceeded(REQUEST);
        mWatch.onSucceeded(REQUEST);
        assertThat(mWatch.isPoison(REQUEST, 4 * SECOND), is(false));
        assertThat(mStrikes, is(List.of("a", "b", "cleared")));
    }

    @Test
    void shouldNotHoldALostAnswerAgainstARequestWhileTheReplicaLives() {
        for (String id : List.of("a", "b", "c")) {
            mWatch.onLost(REQUEST, replica(id), 0);
            mWatch.onAnswered(replica(id), SECOND);
            mWatch.onUnreachable(replica(id), 2 * SECOND);
        }
        assertThat(mWatch.isPoison(REQUEST, 3 * SECOND), is(false));
    }

    @Test
    void shouldNotTakeAnAnswerToAnEarlierRequestForASignOfLife() {
        mWatch.onLost(REQUEST, replica("a"), SECOND);
        mWatch.onAnswered(replica("a"), SECOND / 2);
        mWatch.onUnreachable(replica("a"), 2 * SECOND);
        assertThat(mStrikes, is(List.of("a")));
    }

    @Test
    void shouldNotHoldAgainstARequestWhatHappensLongAfter() {
        mWatch.onLost(REQUEST, replica("a"), 0);
        mWatch.onUnreachable(replica("a"), 10 * SECOND);
        assertThat(mStrikes, is(List.of()));
    }

    @Test
    void shouldTakeInWhatOtherNodesHaveFound() {
        var other = CrashWatch.create();
        other.listen((request, replica) -> mWatch.onStrike(request, replica, 0));
        for (String id : List.of("a", "b")) {
            other.onLost(REQUEST, replica(id), 0);
            other.onUnreachable(replica(id), SECOND);
        }
        assertThat(mWatch.isPoison(REQUEST, SECOND), is(true));
    }

    @Test
    void shouldForgetAfterAMinute() {
        crash("a", 0);
        crash("b", 0);
        mWatch.sweep(70 * SECOND);
        assertThat(mWatch.isPoison(REQUEST, 70 * SECOND), is(false));
    }
}
