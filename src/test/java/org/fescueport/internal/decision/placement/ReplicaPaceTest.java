package org.fescueport.internal.decision.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.placement.ReplicaPace.State;
import org.junit.jupiter.api.Test;

class ReplicaPaceTest {
    private static final PoolId POOL = PoolId.of("pool");
    private static final NodeId NEW = NodeId.of("r0");
    private static final WorkKind KIND = WorkKind.of("route", 1_000);
    private static final long MILLI = Duration.ofMillis(1).toNanos();
    private static final Affinity ANY = new Affinity(0, false);

    private final ReplicaLoads mLoads = ReplicaLoads.create();
    private final ReplicaPace mPace = ReplicaPace.create(mLoads, new SplittableRandom(1));
    private final List<State> mChanges = new ArrayList<>();
    private long mNow;
    private ReplicaSet mSet = set(1);

    ReplicaPaceTest() {
        mPace.listen(change -> mChanges.add(change.state()));
        mPace.onReplicas(mSet, true, mNow);
        mNow += 10_000 * MILLI;
    }

    private static ReplicaSet set(long life) {
        List<Replica> replicas = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            var domain = FailureDomain.of("d");
            replicas.add(new Replica(NodeId.of("r" + i), domain, "", 8, i == 0 ? life : 1));
        }
        return ReplicaSet.of(POOL, replicas);
    }

    private void replace(boolean active) {
        mSet = set(2);
        mPace.onReplicas(mSet, active, mNow);
    }

    /** Returns how many of these requests, one each millisecond, may go to the new replica. */
    private int allowed(int requests) {
        int allowed = 0;
        for (int i = 0; i < requests; i++) {
            mNow += MILLI;
            mPace.onRequest(mSet, ReplicaFilter.ALL, mNow);
            if (mPace.filter(mSet, ANY, mNow).allows(mSet.replica(0))) {
                allowed++;
                mPace.onEnded(send(NEW, 2));
            }
        }
        return allowed;
    }

    private ReplicaPace.Sending send(NodeId node, long life) {
        double slow = ReplicaPace.slowFactor(true, 1);
        return mPace.onSent(POOL, AgentIncarnation.of(node, life), KIND, slow, mNow);
    }

    private void answer(NodeId node, long life, int millis) {
        var sending = send(node, life);
        mNow += millis * MILLI;
        mPace.onFirstByte(sending, mNow);
    }

    @Test
    void shouldLeaveReplicasAloneThatWereThereOrWhilePaceIsInactive() {
        replace(false);
        assertThat(allowed(100), is(100));
        assertThat(mChanges, is(empty()));
    }

    @Test
    void shouldDoubleTheShareWithEachRoundOfQuickAnswers() {
        for (int i = 0; i < 10; i++) {
            answer(NodeId.of("r1"), 1, 100);
        }
        replace(true);
        assertThat(allowed(200), lessThan(200 / 16));
        for (int round = 0; round < 4; round++) {
            assertThat(mPace.heldBack(), is(1));
            answer(NEW, 2, 100);
        }
        assertThat(mPace.heldBack(), is(0));
        assertThat(mChanges, contains(State.STARTING, State.FULL));
    }

    @Test
    void shouldHoldBackWhoAnswersLateAlsoBeforeTheAnswerComes() {
        for (int i = 0; i < 10; i++) {
            answer(NodeId.of("r1"), 1, 100);
        }
        replace(true);
        send(NEW, 2);
        mNow += 250 * MILLI;
        mPace.onRequest(mSet, ReplicaFilter.ALL, mNow);
        assertThat(mChanges, contains(State.STARTING, State.HELD_BACK));
    }

    @Test
    void shouldNotHoldASlowMachineAgainstTheReplicaAsPlacementDoes() {
        for (int i = 0; i < 10; i++) {
            answer(NodeId.of("r1"), 1, 100);
        }
        replace(true);
        var life = AgentIncarnation.of(NEW, 2);
        var sending = mPace.onSent(POOL, life, KIND, ReplicaPace.slowFactor(true, 3), mNow);
        mNow += 290 * MILLI;
        mPace.onFirstByte(sending, mNow);
        assertThat(mChanges, contains(State.STARTING));
    }

    @Test
    void shouldStartAnewAfterAPauseAndAfterFailuresInARow() {
        var life = AgentIncarnation.of(NEW, 1);
        mPace.onPaused(POOL, life, mNow);
        assertThat(mChanges, contains(State.STARTING));
        var other = AgentIncarnation.of(NodeId.of("r1"), 1);
        mPace.onFailure(POOL, other, mNow);
        assertThat(mPace.heldBack(), is(1));
        mPace.onFailure(POOL, other, mNow);
        assertThat(mPace.heldBack(), is(2));
        assertThat(mChanges, contains(State.STARTING, State.HELD_BACK));
    }

    @Test
    void shouldNotGrowWhileTheReplicaCouldGetNothing() {
        replace(true);
        for (int i = 0; i < 10_000; i++) {
            mNow += MILLI;
            mPace.onRequest(mSet, replica -> !replica.node().equals(NEW), mNow);
        }
        assertThat(mPace.heldBack(), is(1));
        assertThat(allowed(160), lessThan(160 / 8));
    }
}
