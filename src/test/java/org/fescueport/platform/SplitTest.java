package org.fescueport.platform;

import static org.fescueport.platform.Installation.get;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.fescueport.platform.FaultProxy.Mode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Nodes that cannot reach each other, while all of them reach the store. */
class SplitTest {
    private static final int NODES = 3;

    /** Within this a configuration must be in force. */
    private static final long BOUND_MS = 2_000;

    /** Until a node that has lost its reader has noticed, and for a new connection. */
    private static final long SETTLING_MS = 6_000;

    private final Map<InetSocketAddress, FaultProxy> mLinks = new ConcurrentHashMap<>();
    private final List<TestRouter> mRouters = new ArrayList<>();
    private StoreStandIn mStore;
    private int mVersion = 1;

    @BeforeEach
    void startFleet() throws IOException {
        mStore = StoreStandIn.start();
        mStore.showNodesAt(node -> mLinks.computeIfAbsent(node, SplitTest::link).address());
        mStore.configure(Installation.configuration(mVersion));
        for (int i = 1; i <= NODES; i++) {
            mRouters.add(TestRouter.start("edge-" + i, mStore.address()).awaitReady());
        }
        awaitOneReader();
    }

    @AfterEach
    void stopFleet() throws IOException {
        for (var router : mRouters) {
            router.close();
        }
        for (var link : mLinks.values()) {
            link.close();
        }
        mStore.close();
    }

    private static FaultProxy link(InetSocketAddress node) {
        try {
            return FaultProxy.before(node);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void awaitOneReader() {
        for (var router : mRouters.subList(1, NODES)) {
            Await.until("one reads for the others", router::reliesOnPeer);
        }
    }

    /** Moves the route of this name to a path of its own, and waits until all nodes know it. */
    private long millisUntilInForce() throws IOException {
        mVersion++;
        String path = "/moved-" + mVersion + "/";
        mStore.configure(Installation.configuration(mVersion).replace("/safe/", path));
        long begun = System.nanoTime();
        for (var router : mRouters) {
            Await.until("the change is in force", () -> isKnown(router, path));
        }
        return (System.nanoTime() - begun) / 1_000_000;
    }

    /** The route is there, although no replica serves it. */
    private static boolean isKnown(TestRouter router, String path) {
        return RawCaller.statusOf(router.callers(), get(path + "x")) == 503;
    }

    @ParameterizedTest
    @EnumSource(Mode.class)
    void shouldPutChangesInForceOnEachSideInTimeAndReadOnceAgainWhenItIsOver(Mode mode)
            throws Exception {
        mLinks.values().forEach(link -> link.mode(mode));
        mLinks.values().forEach(FaultProxy::resetAll);
        assertThat(millisUntilInForce(), lessThan(BOUND_MS));
        Await.pause(SETTLING_MS / 2);
        assertThat(millisUntilInForce(), lessThan(BOUND_MS));
        mLinks.values().forEach(link -> link.mode(Mode.PASS));
        Await.pause(SETTLING_MS);
        awaitOneReader();
        assertThat(millisUntilInForce(), lessThan(BOUND_MS));
    }

    @ParameterizedTest
    @EnumSource(
            value = Mode.class,
            names = {"SILENT", "ONE_WAY"})
    void shouldPutChangesInForceInTimeWhileOpenConnectionsFallSilent(Mode mode) throws Exception {
        mLinks.values().forEach(link -> link.mode(mode));
        assertThat(millisUntilInForce(), lessThan(BOUND_MS));
        assertThat(mRouters.getFirst().reliesOnPeer(), is(false));
    }
}
