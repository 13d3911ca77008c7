package org.fescueport.platform;

import static org.fescueport.platform.Installation.get;
import static org.fescueport.platform.ReplicaStandIn.answering;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import org.fescueport.platform.RawServer.Script;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The store comes back from a copy that is some seconds old, seen by callers and the operator. */
class EraTest {
    private static final Script GOOD = answering("whole");

    private static int status(TestRouter router, String request) {
        try {
            return RawCaller.ask(router.callers(), request).status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** The repeatable route lies under another path, and the first key is withdrawn. */
    private static String changed(int version) {
        return Installation.configuration(version).replace("key-1", "key-2");
    }

    private static Installation start() throws Exception {
        var fleet = Installation.start(GOOD, GOOD);
        fleet.store().era("1");
        return fleet;
    }

    @Test
    void shouldKeepAWithdrawnKeyWithdrawn() throws Exception {
        try (var fleet = start()) {
            var copy = fleet.store().copy();
            fleet.store().configure(changed(5));
            Await.until("the key is gone", () -> status(fleet.router(), get("/safe/x")) == 401);
            fleet.store().comeBack(copy, 2);
            for (int i = 0; i < 30; i++) {
                assertThat(status(fleet.router(), get("/safe/x")), is(401));
                Await.pause(100);
            }
            fleet.store().configure(Installation.configuration(6));
            Await.until("a newer one counts", () -> status(fleet.router(), get("/safe/x")) == 200);
        }
    }

    @Test
    void shouldNotUseAReplicaThatHadLeftBeforeTheCopyCameBack() throws Exception {
        try (var fleet = start()) {
            Await.pause(800);
            var copy = fleet.store().copy();
            fleet.replica("api-1").register(fleet.store(), "ready");
            fleet.store().remove("keyed.servers", "api-1");
            Await.until("it is gone", () -> fleet.router().lines().contains("replica-gone"));
            fleet.store().comeBack(copy, 2);
            int before = fleet.replica("api-1").requests().size();
            for (int i = 0; i < 40; i++) {
                assertThat(status(fleet.router(), get("/safe/" + i)), is(200));
                Await.pause(50);
            }
            assertThat(fleet.replica("api-1").requests().size(), is(before));
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void shouldUseAReplicaThatIsWrittenBelowTheFormerOffset(boolean grown) throws Exception {
        try (var fleet = start()) {
            var copy = fleet.store().copy();
            for (int i = 0; i < 50; i++) {
                fleet.replica("api-1").register(fleet.store(), "ready");
            }
            Await.pause(900);
            fleet.store().comeBack(copy, 2);
            fleet.replica("api-1").register(fleet.store(), "draining");
            fleet.replica("api-2").register(fleet.store(), "ready");
            if (grown) {
                // No 410 tells that the offset is another one now.
                for (int i = 0; i < 100; i++) {
                    fleet.replica("api-2").register(fleet.store(), "ready");
                }
            }
            Await.pause(1_000);
            int before = fleet.replica("api-1").requests().size();
            for (int i = 0; i < 20; i++) {
                assertThat(status(fleet.router(), get("/safe/" + i)), is(200));
            }
            assertThat(fleet.replica("api-1").requests().size(), is(before));
        }
    }

    @Test
    void shouldServeOnWithWhatTheCopyLacksAndIsWrittenAgain() throws Exception {
        try (var fleet = start()) {
            var copy = fleet.store().copy();
            fleet.replica("api-1").register(fleet.store(), "ready");
            fleet.store().comeBack(copy, 2);
            for (int i = 0; i < 20; i++) {
                assertThat(status(fleet.router(), get("/safe/" + i)), is(200));
                Await.pause(100);
            }
        }
    }

    @Test
    void shouldNotAskInALoopAfterTheDrill() throws Exception {
        try (var fleet = start()) {
            var copy = fleet.store().copy();
            for (int i = 0; i < 50; i++) {
                fleet.store().configure(Installation.configuration(2 + i));
                fleet.replica("api-1").register(fleet.store(), "ready");
            }
            Await.pause(1_000);
            fleet.store().comeBack(copy, 2);
            int before = fleet.store().calls().size();
            Await.pause(3_000);
            assertThat(fleet.store().calls().size() - before, lessThan(30));
        }
    }

    @Test
    void shouldNotAskInALoopWhenAStoreGoesBackWithoutAWord() throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD)) {
            var copy = fleet.store().copy();
            for (int i = 0; i < 50; i++) {
                fleet.store().configure(Installation.configuration(2 + i));
            }
            Await.pause(1_000);
            fleet.store().comeBack(copy, 1);
            fleet.store().era("");
            int before = fleet.store().calls().size();
            Await.pause(3_000);
            assertThat(fleet.store().calls().size() - before, lessThan(40));
        }
    }

    @Test
    void shouldKeepOneReaderAndWriteTheNodesAgain() throws Exception {
        try (var store = StoreStandIn.start()) {
            store.era("1");
            store.configure(Installation.configuration(1));
            var empty = store.copy();
            try (var first = TestRouter.start("edge-1", store.address()).awaitReady()) {
                Await.until("the first is ranked", () -> first.lines().contains("ranked"));
                try (var second = TestRouter.start("edge-2", store.address()).awaitReady()) {
                    Await.until("it relies", second::reliesOnPeer);
                    store.comeBack(empty, 2);
                    try (var third = TestRouter.start("edge-3", store.address()).awaitReady()) {
                        Await.until("the third relies too", 5_000, third::reliesOnPeer);
                        Await.pause(1_000);
                        assertThat(first.reliesOnPeer(), is(false));
                        assertThat(second.reliesOnPeer(), is(true));
                        assertThat(second.lines(), not(containsTwoRanks()));
                    }
                }
            }
        }
    }

    /** A node keeps the rank that it had. */
    private static org.hamcrest.Matcher<String> containsTwoRanks() {
        return new org.hamcrest.CustomMatcher<>("lines with two different ranks") {
            @Override
            public boolean matches(Object lines) {
                return ((String) lines)
                                .lines()
                                .filter(line -> line.contains("\"event\":\"ranked\""))
                                .map(line -> line.replaceAll(".*\"rank\":\"([^\"]*)\".*", "$1"))
                                .distinct()
                                .count()
                        > 1;
            }
        };
    }

    @Test
    void shouldNotBecomeReadyOnAnOldConfigurationThatItsPeersKnowToBeOld() throws Exception {
        try (var fleet = start()) {
            Await.until("it is ranked", () -> fleet.router().lines().contains("ranked"));
            Await.pause(1_000);
            var copy = fleet.store().copy();
            fleet.store().configure(changed(5));
            Await.until("the key is gone", () -> status(fleet.router(), get("/safe/x")) == 401);
            fleet.store().comeBack(copy, 2);
            try (var second = TestRouter.start("edge-2", fleet.store().address()).awaitReady()) {
                assertThat(status(second, get("/safe/x")), is(401));
            }
        }
    }

    @Test
    void shouldServeThroughOddErasAndTellThemOnce() throws Exception {
        try (var fleet = start()) {
            Await.until("the era is known", () -> fleet.router().lines().contains("store-era"));
            for (var odd : new String[] {"x", "0", "-3", "99999999999999999999", ""}) {
                fleet.store().era(odd);
                Await.pause(1_500);
                assertThat(status(fleet.router(), get("/safe/x")), is(200));
            }
            long lines =
                    fleet.router()
                            .lines()
                            .lines()
                            .filter(line -> line.contains("store-era-odd"))
                            .count();
            assertThat(lines, is(5L));
        }
    }
}
