package org.fescueport.platform;

import static org.fescueport.platform.Installation.get;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Nodes of one failure domain, so many that some get their records through a relaying node. */
class RelayTreeRoutersTest {
    private static final int NODES = 12;

    /** Nodes that the first one sends records to. */
    private static final int FAN_OUT = 6;

    /** Within this a configuration must be in force. */
    private static final long BOUND_MS = 2_000;

    private final List<TestRouter> mRouters = new ArrayList<>();
    private StoreStandIn mStore;
    private int mVersion = 1;

    @BeforeEach
    void startFleet() throws IOException {
        mStore = StoreStandIn.start();
        mStore.configure(Installation.configuration(mVersion));
        for (int i = 1; i <= NODES; i++) {
            mRouters.add(TestRouter.start("edge-" + i, mStore.address()).awaitReady());
        }
        awaitOneReader();
    }

    @AfterEach
    void stopFleet() throws IOException {
        mRouters.forEach(TestRouter::close);
        mStore.close();
    }

    private void awaitOneReader() {
        for (var router : mRouters.subList(1, mRouters.size())) {
            Await.until("one reads for the others", router::reliesOnPeer);
        }
    }

    /** Moves the route of this name to a path of its own, and waits until all nodes know it. */
    private long millisUntilInForce() {
        mVersion++;
        String path = "/moved-" + mVersion + "/";
        mStore.configure(Installation.configuration(mVersion).replace("/safe/", path));
        long begun = System.nanoTime();
        for (var router : mRouters) {
            Await.until(
                    "the change is in force",
                    () -> RawCaller.statusOf(router.callers(), get(path + "x")) == 503);
        }
        return (System.nanoTime() - begun) / 1_000_000;
    }

    private void end(TestRouter router) {
        mRouters.remove(router);
        router.close();
    }

    @Test
    void shouldReadTheStoreOnceAndSendRecordsToFewNodes() {
        int before = mStore.calls().size();
        Await.pause(3_000);
        // One call a second for configurations and 1.4 for replicas, by one node.
        assertThat(mStore.calls().size() - before, is(lessThanOrEqualTo(10)));
        assertThat(mRouters.getFirst().peerConnections(), is(lessThanOrEqualTo(FAN_OUT)));
        assertThat(millisUntilInForce(), lessThan(BOUND_MS));
    }

    /** The first node, the first one that relays, and one that has none below it. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 11})
    void shouldPutChangesInForceInTimeWhenANodeEndsOrDoesNothing(int node) {
        var router = mRouters.get(node);
        router.stall(Duration.ofMillis(1_900));
        mRouters.remove(router);
        assertThat(millisUntilInForce(), lessThan(BOUND_MS));
        router.close();
        assertThat(millisUntilInForce(), lessThan(BOUND_MS));
        Await.pause(4_000);
        awaitOneReader();
        assertThat(millisUntilInForce(), lessThan(BOUND_MS));
    }

    /**
     * All nodes start again while the records of their former lives are in the store. Each finds
     * only nodes in its list that have started later, until it reads the list again.
     */
    @Test
    void shouldHaveOneReaderSoonAfterAllNodesHaveStartedAgain() throws Exception {
        var former = List.copyOf(mRouters);
        former.forEach(this::end);
        for (var router : former) {
            mRouters.add(router.startAgain(mStore.address()));
        }
        Await.pause(4_000);
        for (var router : mRouters.subList(1, mRouters.size())) {
            assertThat(router.reliesOnPeer(), is(true));
        }
        assertThat(millisUntilInForce(), lessThan(BOUND_MS));
    }
}
