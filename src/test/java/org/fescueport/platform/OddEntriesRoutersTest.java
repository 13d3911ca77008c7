package org.fescueport.platform;

import static org.fescueport.platform.Installation.get;
import static org.fescueport.platform.Installation.post;
import static org.fescueport.platform.Scripts.GOOD;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Whole routers, with entries that another writer left among those of the replicas. */
class OddEntriesRoutersTest {
    private static final String REPLICAS = "keyed.servers";

    /** The store accepts no larger records. */
    private static final int MAX_RECORD_BYTES = 256_000;

    private static final int PAGE_SIZE = 20;
    private static final int REQUESTS = 30;

    private static int status(TestRouter router) {
        try {
            return RawCaller.ask(router.callers(), get("/safe/x")).status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Writes odd entries of all kinds, some of them under the ids of former replicas. */
    private static void writeOddEntries(StoreStandIn store) {
        store.pages(PAGE_SIZE, 0);
        List<byte[]> values =
                OddEntries.unusableValues()
                        .map(named -> named.getPayload())
                        .filter(value -> value.length > 0 && value.length < MAX_RECORD_BYTES)
                        .toList();
        for (int i = 0; i < values.size(); i++) {
            store.append(REPLICAS, "x-" + i, values.get(i));
            store.append("keyed.status", "x-" + i, values.get(i));
            store.append("keyed.op", "x-" + i, values.get(i));
        }
        store.append("keyed.op", "config", values.getLast());
        OddEntries.unusableKeys()
                .map(named -> named.getPayload())
                .filter(StandardCharsets.UTF_8.newEncoder()::canEncode)
                .forEach(key -> store.put(REPLICAS, key, OddEntries.good(9)));
    }

    /** Replaces all good replicas by one, and checks that these routers use that one alone. */
    private static void assertFollowing(Installation fleet, TestRouter... routers) {
        for (var id : List.of("api-1", "api-2")) {
            fleet.store().remove(REPLICAS, id);
        }
        for (var router : routers) {
            Await.until("no replica is used", () -> status(router) == 503);
        }
        fleet.replica("api-2").register(fleet.store(), "ready");
        for (var router : routers) {
            Await.until("the replica is used", () -> status(router) == 200);
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(status(router), is(200));
            }
        }
    }

    @Test
    void shouldFollowGoodReplicasAmongOddEntriesAndBecomeReadyAgain() throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD)) {
            writeOddEntries(fleet.store());
            assertFollowing(fleet, fleet.router());
            try (var second = TestRouter.start("edge-2", fleet.store().address()).awaitReady()) {
                assertThat(status(second), is(200));
                Await.until("the second gets records of the first", second::reliesOnPeer);
                assertFollowing(fleet, fleet.router(), second);
                try (var last = TestRouter.start("edge-3", fleet.store().address()).awaitReady()) {
                    assertFollowing(fleet, fleet.router(), second, last);
                }
            }
            assertThat(fleet.router().lines(), not(containsString("\"fault\"")));
        }
    }

    @Test
    void shouldFollowGoodReplicasThroughAPeerAmongOddEntries() throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD);
                var away = StoreStandIn.start()) {
            writeOddEntries(fleet.store());
            try (var second = fleet.startTurnedAway(away)) {
                assertFollowing(fleet, fleet.router(), second);
            }
        }
    }

    @ParameterizedTest
    @MethodSource("org.fescueport.platform.OddEntries#unusableKeys")
    void shouldAnswerAllRequestsWhileAnEntryHasAnUnusableKey(String key) throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD)) {
            fleet.store().put(REPLICAS, key, fleet.replica("api-1").entry("ready"));
            Await.pause(1_000);
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(fleet.ask(post("/unsafe/x", "seven")).status(), is(200));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"0.0.0.0:1", "127.0.0.1:1", "255.255.255.255:80", "224.0.0.1:80", "[::1]:1"})
    void shouldAnswerAllRequestsWhileAnAddressCannotBeReached(String address) throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD)) {
            fleet.store().put(REPLICAS, "x", OddEntries.good(9).replace("10.0.0.9:8080", address));
            Await.until("it is known", () -> fleet.router().lines().contains("\"replica\":\"x\""));
            for (int i = 0; i < REQUESTS; i++) {
                assertThat(fleet.ask(post("/unsafe/x", "seven")).status(), is(200));
            }
        }
    }

    @Test
    void shouldReadThePagesBehindAKeyThatCannotBeNamedInACall() throws Exception {
        try (var store = StoreStandIn.start();
                var first = ReplicaStandIn.start("a", "api", GOOD);
                var last = ReplicaStandIn.start("z", "api", GOOD)) {
            store.configure(Installation.configuration(1));
            first.register(store, "ready");
            store.put(REPLICAS, "x-\udcff", OddEntries.good(9));
            last.register(store, "ready");
            // The odd entry is the last one of a page.
            store.pages(2, 0);
            try (var router = TestRouter.start("edge-1", store.address()).awaitReady()) {
                first.register(store, "draining");
                Await.until("the last one is used", () -> isUsed(last, router));
            }
        }
    }

    private static boolean isUsed(ReplicaStandIn replica, TestRouter router) {
        return status(router) == 200 && !replica.requests().isEmpty();
    }
}
