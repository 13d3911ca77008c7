package org.fescueport.platform;

import static org.fescueport.platform.Installation.get;
import static org.fescueport.platform.ReplicaStandIn.answering;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import org.fescueport.platform.RawServer.Script;
import org.fescueport.platform.StoreStandIn.Mode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class BelievedStateTest {
    private static final Script GOOD = answering("whole");

    /** The repeatable route lies under another path than before. */
    private static String moved(int version) {
        return Installation.configuration(version).replace("/safe/", "/sure/");
    }

    private static int status(Installation fleet, String request) {
        return status(fleet.router(), request);
    }

    private static int status(TestRouter router, String request) {
        try {
            return RawCaller.ask(router.callers(), request).status();
        } catch (IOException e) {
            return 0;
        }
    }

    @Test
    void shouldSayNotRunBeforeTheFirstConfiguration() throws Exception {
        try (var store = StoreStandIn.start();
                var router = TestRouter.start("edge-1", store.address())) {
            Await.until("it serves callers", () -> status(router, get("/safe/x")) == 503);
            assertThat(router.isReady(), is(false));
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Mode.class,
            names = {"BUSY", "MANY", "SILENT", "RESET", "GARBAGE", "SLOW"})
    void shouldServeOnWhileTheStoreIsAwayAndCatchUpWhenItIsBack(Mode mode) throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD)) {
            fleet.store().mode(mode);
            Await.pause(1_500);
            assertThat(status(fleet, get("/safe/x")), is(200));
            fleet.store().configure(Installation.configuration(2).replace("key-1", "key-2"));
            fleet.store().mode(Mode.GOOD);
            Await.until("the key is gone", () -> status(fleet, get("/safe/x")) == 401);
        }
    }

    @Test
    void shouldPutAConfigurationInForceAtOnce() throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD)) {
            fleet.store().configure(moved(5));
            long begun = System.nanoTime();
            Await.until("the new route is there", () -> status(fleet, get("/sure/x")) == 200);
            assertThat((System.nanoTime() - begun) / 1_000_000, lessThan(500L));
            assertThat(status(fleet, get("/safe/x")), is(404));
        }
    }

    @Test
    void shouldPutChangesInForceInTimeWhileTheStoreIsSlow() throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD)) {
            fleet.store().mode(Mode.SLOW);
            Await.pause(1_000);
            fleet.replica("api-1").register(fleet.store(), "draining");
            fleet.store().configure(moved(5));
            Await.pause(2_000);
            assertThat(status(fleet, get("/safe/x")), is(404));
            int before = fleet.replica("api-1").requests().size();
            for (int i = 0; i < 20; i++) {
                assertThat(status(fleet, get("/sure/" + i)), is(200));
            }
            assertThat(fleet.replica("api-1").requests().size(), is(before));
        }
    }

    @Test
    void shouldBeReadyWithinTwoSecondsOfItsStart() throws Exception {
        try (var store = StoreStandIn.start()) {
            store.configure(Installation.configuration(1));
            store.mode(Mode.SLOW);
            long begun = System.nanoTime();
            try (var router = TestRouter.start("edge-1", store.address()).awaitReady()) {
                assertThat((System.nanoTime() - begun) / 1_000_000, lessThan(2_000L));
                assertThat(router.isReady(), is(true));
            }
        }
    }

    @Test
    void shouldNotGoBackToAnOlderConfiguration() throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD)) {
            fleet.store().configure(moved(5));
            Await.until("the new route is there", () -> status(fleet, get("/sure/x")) == 200);
            fleet.store().configure(Installation.configuration(4));
            fleet.store().configure("not json");
            Await.pause(500);
            assertThat(status(fleet, get("/sure/x")), is(200));
        }
    }

    @Test
    void shouldReadOnWhenTheHistoryIsGone() throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD)) {
            fleet.store().configure(moved(5));
            fleet.store().compact("keyed.op");
            fleet.store().compact("keyed.servers");
            Await.until("the new route is there", () -> status(fleet, get("/sure/x")) == 200);
        }
    }

    @Test
    void shouldSendNothingMoreToAReplicaThatLeaves() throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD)) {
            fleet.replica("api-1").register(fleet.store(), "draining");
            assertThatTheOtherReplicaServes(fleet);
        }
    }

    @Test
    void shouldSendNothingMoreToAReplicaWhoseEntryIsRemoved() throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD)) {
            fleet.store().remove("keyed.servers", "api-1");
            assertThatTheOtherReplicaServes(fleet);
        }
    }

    private static void assertThatTheOtherReplicaServes(Installation fleet) {
        Await.pause(1_000);
        int before = fleet.replica("api-1").requests().size();
        for (int i = 0; i < 20; i++) {
            assertThat(status(fleet, get("/safe/" + i)), is(200));
        }
        assertThat(fleet.replica("api-1").requests().size(), is(before));
    }

    @Test
    void shouldLiveOnAPeersStateWhenItStartsWhileTheStoreTurnsItAway() throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD);
                var away = StoreStandIn.start()) {
            try (var second = fleet.startTurnedAway(away)) {
                assertThat(status(second, get("/safe/x")), is(200));
                fleet.store().configure(moved(7));
                Await.until("the change has come", () -> status(second, get("/sure/x")) == 200);
            }
        }
    }

    @Test
    void shouldLeaveTheReadingToOneNode() throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD);
                var second = TestRouter.start("edge-2", fleet.store().address()).awaitReady();
                var third = TestRouter.start("edge-3", fleet.store().address()).awaitReady()) {
            Await.until(
                    "the second relies on it", () -> second.lines().contains("relying-on-peer"));
            Await.until("the third relies on it", () -> third.lines().contains("relying-on-peer"));
            int before = fleet.store().calls().size();
            Await.pause(3_000);
            int calls = fleet.store().calls().size() - before;
            assertThat(calls, lessThan(12));
            assertThat(calls, greaterThan(4));
        }
    }

    @Test
    void shouldKeepItsReaderWhenANodeBeforeItHasStartedAnew() throws Exception {
        try (var store = StoreStandIn.start()) {
            store.configure(Installation.configuration(1));
            var gone = TestRouter.start("edge-0", store.address()).awaitReady();
            Await.until("the first is ranked", () -> gone.lines().contains("ranked"));
            try (var reader = TestRouter.start("edge-1", store.address()).awaitReady();
                    var other = TestRouter.start("edge-2", store.address()).awaitReady()) {
                Await.until("both rely on it", () -> other.lines().contains("relying-on-peer"));
                gone.close();
                try (var again = gone.startAgain(store.address()).awaitReady()) {
                    Await.until(
                            "the new one relies", () -> again.lines().contains("relying-on-peer"));
                    Await.until("the other relies", () -> other.reliesOnPeer());
                    Await.pause(500);
                    long before = lostReaders(other);
                    Await.pause(5_000);
                    assertThat(lostReaders(other), is(before));
                    assertThat(other.reliesOnPeer(), is(true));
                    assertThat(reader.reliesOnPeer(), is(false));
                }
            }
        }
    }

    private static long lostReaders(TestRouter router) {
        return router.lines().lines().filter(line -> line.contains("peer-lost")).count();
    }

    @Test
    void shouldReadItselfWhenTheReaderIsGone() throws Exception {
        try (var store = StoreStandIn.start()) {
            store.configure(Installation.configuration(1));
            var first = TestRouter.start("edge-1", store.address());
            Await.until("the first is ranked", () -> first.lines().contains("ranked"));
            try (var second = TestRouter.start("edge-2", store.address()).awaitReady()) {
                Await.until("it relies on it", () -> second.lines().contains("relying-on-peer"));
                first.close();
                store.configure(moved(2));
                long begun = System.nanoTime();
                Await.until("the change has come", () -> status(second, get("/sure/x")) == 503);
                assertThat((System.nanoTime() - begun) / 1_000_000, lessThan(1_900L));
            }
        }
    }

    /**
     * A list of thousands of replicas takes seconds on a slow link, after a loss of all nodes too.
     */
    @Test
    void shouldServeWithPartOfALongListWhileTheRestIsRead() throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD)) {
            fleet.router().close();
            fleet.store().pages(1, 700);
            try (var second = TestRouter.start("edge-2", fleet.store().address())) {
                Await.until(
                        "it serves",
                        () -> RawCaller.statusOf(second.callers(), get("/safe/x")) == 200);
                assertThat(second.isReady(), is(false));
                second.awaitReady();
            }
        }
    }
}
