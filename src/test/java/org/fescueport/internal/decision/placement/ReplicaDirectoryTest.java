package org.fescueport.internal.decision.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.placement.ReplicaDirectory.ListedReplica;
import org.junit.jupiter.api.Test;

class ReplicaDirectoryTest {
    private static final NodeId NODE = NodeId.of("r0");
    private static final FailureDomain DOMAIN = FailureDomain.of("fd0");

    private final ReplicaDirectory mDirectory = ReplicaDirectory.create(Replicas.POOL);

    private void list(int second, boolean leaving) {
        mDirectory.onVmList(
                List.of(new ListedReplica(NODE, DOMAIN, "a:1", 1, leaving)), at(second));
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
    void shouldExcludeAReplicaWhileItServesNothing() {
        list(0, false);
        mDirectory.onHello(NODE, 5, false, at(1));
        mDirectory.onServesNothing(NODE, 5, true, at(1));
        assertThat(liveAt(2), is(0));
        assertThat(mDirectory.listedReplicas(at(2)).size(), is(1));
        mDirectory.onServesNothing(NODE, 5, false, at(3));
        assertThat(liveAt(3), is(1));
    }

    @Test
    void shouldIncludeAReplicaAgainLongAfterItReportedServingNothing() {
        list(0, false);
        mDirectory.onHello(NODE, 5, false, at(1));
        mDirectory.onServesNothing(NODE, 5, true, at(1));
        assertThat(liveAt(62), is(1));
    }

    @Test
    void shouldKeepARespondingReplicaThatDropsOutOfTheList() {
        list(0, false);
        mDirectory.onHello(NODE, 5, false, at(8));
        mDirectory.onVmList(List.of(), at(9));
        assertThat(liveAt(10), is(1));
        assertThat(liveAt(14), is(0));
    }

    @Test
    void shouldDropAnUnreachableReplicaAsSoonAsItIsUnlisted() {
        list(0, false);
        mDirectory.onHello(NODE, 5, false, at(8));
        mDirectory.onUnreachable(NODE);
        mDirectory.onVmList(List.of(), at(9));
        assertThat(liveAt(9), is(0));
    }

    @Test
    void shouldDropALeavingReplicaAtOnceWhileItIsStillListed() {
        list(0, false);
        mDirectory.onHello(NODE, 5, false, at(1));
        mDirectory.onLeaving(NODE, 5, at(2));
        mDirectory.onVmList(List.of(), at(3));
        list(4, false);
        assertThat(liveAt(4), is(0));
    }

    @Test
    void shouldReinstateALeavingReplicaWithANewIncarnation() {
        list(0, false);
        mDirectory.onLeaving(NODE, 5, at(2));
        mDirectory.onHello(NODE, 6, false, at(3));
        assertThat(mDirectory.replicas(at(3)).replica(0).incarnation(), is(6L));
    }

    @Test
    void shouldReinstateALeavingReplicaThatStaysListed() {
        list(0, false);
        mDirectory.onLeaving(NODE, 5, at(2));
        assertThat(liveAt(61), is(0));
        assertThat(liveAt(63), is(1));
    }

    /**
     * Regression test: if the leaving report of a VM also excludes its replacement with the same
     * name, the pool is empty.
     */
    @Test
    void shouldAcceptAReplacementAtAnotherAddressAtOnce() {
        list(0, false);
        mDirectory.onHello(NODE, 5, false, at(1));
        mDirectory.onLeaving(NODE, 5, at(2));
        mDirectory.onVmList(List.of(new ListedReplica(NODE, DOMAIN, "a:2", 1, false)), at(4));
        assertThat(liveAt(4), is(1));
    }

    @Test
    void shouldRetryTheAddressSoonAfterALeavingReplicaDisconnects() {
        list(0, false);
        mDirectory.onLeaving(NODE, 5, at(2));
        mDirectory.onConnectionClosed(NODE, at(10));
        assertThat(liveAt(12), is(0));
        assertThat(liveAt(14), is(1));
        mDirectory.onLeaving(NODE, 5, at(15));
        assertThat(liveAt(16), is(0));
    }

    @Test
    void shouldDropAReplicaListedAsLeaving() {
        list(0, false);
        list(1, true);
        assertThat(liveAt(1), is(0));
    }

    @Test
    void shouldIgnoreAReplacedIncarnation() {
        list(0, false);
        mDirectory.onHello(NODE, 5, false, at(1));
        mDirectory.onHello(NODE, 6, false, at(2));
        mDirectory.onLeaving(NODE, 5, at(3));
        assertThat(liveAt(3), is(1));
        assertThat(mDirectory.replicas(at(3)).replica(0).incarnation(), is(6L));
    }

    @Test
    void shouldTreatAVmAtAnotherAddressAsANewReplica() {
        list(0, false);
        mDirectory.onLeaving(NODE, 5, at(1));
        mDirectory.onVmList(List.of(new ListedReplica(NODE, DOMAIN, "b:1", 1, false)), at(2));
        assertThat(liveAt(2), is(1));
        assertThat(mDirectory.replicas(at(2)).replica(0).incarnation(), is(0L));
    }

    @Test
    void shouldKeepAFlappingReplicaForLonger() {
        list(0, false);
        mDirectory.onVmList(List.of(), at(2));
        list(4, false);
        mDirectory.onVmList(List.of(), at(6));
        assertThat(liveAt(8), is(1));
        list(9, false);
        mDirectory.onVmList(List.of(), at(11));
        assertThat(liveAt(20), is(1));
        assertThat(liveAt(80), is(0));
    }
}
