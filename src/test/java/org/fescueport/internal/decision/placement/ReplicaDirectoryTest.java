package org.fescueport.internal.decision.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.placement.ReplicaDirectory.Listed;
import org.junit.jupiter.api.Test;

class ReplicaDirectoryTest {
    private static final NodeId NODE = NodeId.of("r0");
    private static final FailureDomain DOMAIN = FailureDomain.of("fd0");

    private final ReplicaDirectory mDirectory = ReplicaDirectory.create(Replicas.POOL);

    private void list(int second, boolean leaving) {
        mDirectory.onList(List.of(new Listed(NODE, DOMAIN, "a:1", 1, leaving)), at(second));
    }

    private static long at(int second) {
        return TimeUnit.SECONDS.toNanos(second);
    }

    private int liveAt(int second) {
        return mDirectory.replicas(at(second)).size();
    }

    @Test
    void shouldReturnTheSameSetWhileNothingChanges() {
        list(0, false);
        var set = mDirectory.replicas(at(0));
        list(1, false);
        assertThat(mDirectory.replicas(at(1)), sameInstance(set));
    }

    @Test
    void shouldLeaveOutAReplicaThatServesNothingUntilItSaysSo() {
        list(0, false);
        mDirectory.onHello(NODE, 5, false, at(1));
        mDirectory.onServesNothing(NODE, 5, true, at(1));
        assertThat(liveAt(2), is(0));
        assertThat(mDirectory.listed(at(2)).size(), is(1));
        mDirectory.onServesNothing(NODE, 5, false, at(3));
        assertThat(liveAt(3), is(1));
    }

    @Test
    void shouldTryAReplicaAgainLongAfterItServedNothing() {
        list(0, false);
        mDirectory.onHello(NODE, 5, false, at(1));
        mDirectory.onServesNothing(NODE, 5, true, at(1));
        assertThat(liveAt(62), is(1));
    }

    @Test
    void shouldKeepAReplicaThatAnsweredWhenTheListFlaps() {
        list(0, false);
        mDirectory.onHello(NODE, 5, false, at(8));
        mDirectory.onList(List.of(), at(9));
        assertThat(liveAt(10), is(1));
        assertThat(liveAt(14), is(0));
    }

    @Test
    void shouldDropAnUnreachableReplicaWithTheList() {
        list(0, false);
        mDirectory.onHello(NODE, 5, false, at(8));
        mDirectory.onUnreachable(NODE);
        mDirectory.onList(List.of(), at(9));
        assertThat(liveAt(9), is(0));
    }

    @Test
    void shouldDropALeavingReplicaAtOnceThoughTheListStillHasIt() {
        list(0, false);
        mDirectory.onHello(NODE, 5, false, at(1));
        mDirectory.onLeaving(NODE, 5, at(2));
        mDirectory.onList(List.of(), at(3));
        list(4, false);
        assertThat(liveAt(4), is(0));
    }

    @Test
    void shouldTakeALeavingReplicaBackAsAnotherIncarnation() {
        list(0, false);
        mDirectory.onLeaving(NODE, 5, at(2));
        mDirectory.onHello(NODE, 6, false, at(3));
        assertThat(mDirectory.replicas(at(3)).replica(0).incarnation(), is(6L));
    }

    @Test
    void shouldTakeALeavingReplicaBackWhenTheListKeepsItForLong() {
        list(0, false);
        mDirectory.onLeaving(NODE, 5, at(2));
        assertThat(liveAt(61), is(0));
        assertThat(liveAt(63), is(1));
    }

    @Test
    void shouldTakeAReplacementAtAnotherAddressAtOnceRegressionOfEmptyPool() {
        list(0, false);
        mDirectory.onHello(NODE, 5, false, at(1));
        mDirectory.onLeaving(NODE, 5, at(2));
        mDirectory.onList(List.of(new Listed(NODE, DOMAIN, "a:2", 1, false)), at(4));
        assertThat(liveAt(4), is(1));
    }

    @Test
    void shouldSoonTryTheAddressOfALeavingReplicaThatEnded() {
        list(0, false);
        mDirectory.onLeaving(NODE, 5, at(2));
        mDirectory.onClosed(NODE, at(10));
        assertThat(liveAt(12), is(0));
        assertThat(liveAt(14), is(1));
        mDirectory.onLeaving(NODE, 5, at(15));
        assertThat(liveAt(16), is(0));
    }

    @Test
    void shouldDropAReplicaThatTheListCallsLeaving() {
        list(0, false);
        list(1, true);
        assertThat(liveAt(1), is(0));
    }

    @Test
    void shouldNotHearAnIncarnationThatAnotherHasReplaced() {
        list(0, false);
        mDirectory.onHello(NODE, 5, false, at(1));
        mDirectory.onHello(NODE, 6, false, at(2));
        mDirectory.onLeaving(NODE, 5, at(3));
        assertThat(liveAt(3), is(1));
        assertThat(mDirectory.replicas(at(3)).replica(0).incarnation(), is(6L));
    }

    @Test
    void shouldTakeAVmAtAnotherAddressForAnotherOne() {
        list(0, false);
        mDirectory.onLeaving(NODE, 5, at(1));
        mDirectory.onList(List.of(new Listed(NODE, DOMAIN, "b:1", 1, false)), at(2));
        assertThat(liveAt(2), is(1));
        assertThat(mDirectory.replicas(at(2)).replica(0).incarnation(), is(0L));
    }

    @Test
    void shouldKeepAReplicaThatFlapsInTheList() {
        list(0, false);
        mDirectory.onList(List.of(), at(2));
        list(4, false);
        mDirectory.onList(List.of(), at(6));
        assertThat(liveAt(8), is(1));
        list(9, false);
        mDirectory.onList(List.of(), at(11));
        assertThat(liveAt(20), is(1));
        assertThat(liveAt(80), is(0));
    }
}
