package org.fescueport.platform;

import static org.fescueport.platform.Installation.get;
import static org.fescueport.platform.Installation.post;
import static org.fescueport.platform.Installation.request;
import static org.fescueport.platform.ReplicaStandIn.beginStream;
import static org.fescueport.platform.ReplicaStandIn.chunk;
import static org.fescueport.platform.ReplicaStandIn.events;
import static org.fescueport.platform.ReplicaStandIn.headersFor;
import static org.fescueport.platform.Scripts.GOOD;
import static org.fescueport.platform.Scripts.STREAM;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.net.InetSocketAddress;
import java.util.Random;
import org.fescueport.platform.RawServer.Script;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Failures that operators of similar systems met. */
class OperatorCasesTest {
    /** Longer than an engine that works on many streams is silent. */
    private static final int SLOW_MS = 400;

    /** A route's time, a round of the checks and what a loaded machine adds. */
    private static final long LONGEST_MS = 3_000 + 1_000;

    @ParameterizedTest
    @ValueSource(longs = {0, 5, 50, 200})
    void shouldNotGiveALateSecondCopyOfAnAnswerToTheNextCaller(long lateMillis) throws Exception {
        Script twice =
                (request, wire) -> {
                    byte[] body = ("for " + request.target()).getBytes();
                    wire.answer(200, headersFor(request), body);
                    Await.pause(lateMillis);
                    wire.answer(200, headersFor(request), body);
                };
        try (var fleet = Installation.start(twice, STREAM)) {
            for (int i = 0; i < 40; i++) {
                String path = "/safe/" + i;
                var answer = fleet.ask(request("GET", path, "id-" + i, ""));
                assertThat(answer.body(), is("for " + path));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/stream/x"})
    void shouldNotCutASoundStreamThatIsSlow(String path) throws Exception {
        Script slow =
                (request, wire) -> {
                    beginStream(request, wire);
                    for (int i = 1; i <= 3; i++) {
                        chunk(wire, events(i, i));
                        Await.pause(SLOW_MS);
                    }
                    wire.write("0\r\n\r\n");
                };
        try (var fleet = Installation.start(GOOD, slow)) {
            var answer = fleet.ask(post(path, "hello"));
            assertThat(answer.body(), is(events(1, 3)));
            assertThat(answer.complete(), is(true));
            assertThat(fleet.arrivals("llm"), is(1));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/stream/x"})
    void shouldEndAStreamThatDripsAByteNowAndThenAtTheRoutesTime(String path) throws Exception {
        Script dripping =
                (request, wire) -> {
                    beginStream(request, wire);
                    chunk(wire, events(1, 1) + "id: 2\ndata: ");
                    while (true) {
                        chunk(wire, ".");
                        Await.pause(100);
                    }
                };
        try (var fleet = Installation.start(GOOD, dripping)) {
            long begun = System.nanoTime();
            var answer = fleet.ask(post(path, "hello"));
            long millis = (System.nanoTime() - begun) / 1_000_000;
            assertThat(answer.complete(), is(false));
            assertThat(millis, is(lessThan(LONGEST_MS)));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void shouldServeOnAfterBytesThatAreNoMessageOnEachOfItsPorts(int port) throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM)) {
            var router = fleet.router();
            var addresses =
                    new InetSocketAddress[] {router.callers(), router.admin(), router.peers()};
            var random = new Random(port);
            for (int i = 0; i < 50; i++) {
                try (var caller = RawCaller.connect(addresses[port])) {
                    byte[] bytes = new byte[1 + random.nextInt(400)];
                    random.nextBytes(bytes);
                    caller.send(new String(bytes, java.nio.charset.StandardCharsets.ISO_8859_1));
                }
            }
            assertThat(fleet.ask(get("/safe/x")).status(), is(200));
            assertThat(router.isReady(), is(true));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "{",
                "[]",
                "{\"service\":7}",
                "{\"service\":\"api\",\"address\":\"nowhere\",\"state\":\"ready\"}",
                "{\"service\":\"api\",\"address\":\"127.0.0.1:99999\",\"state\":\"ready\"}"
            })
    void shouldServeOnAfterAnEntryThatCannotBeRead(String entry) throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM)) {
            fleet.store().put("keyed.servers", "broken", entry);
            fleet.store().put("keyed.op", "config", entry.isEmpty() ? "x" : entry);
            Await.pause(800);
            assertThat(fleet.ask(get("/safe/x")).status(), is(200));
        }
    }

    @Test
    void shouldNotBringBackAWithdrawnKeyOrADepartedReplicaWithARestartWhileTheStoreIsAway()
            throws Exception {
        String two = Installation.CONFIGURATION.formatted(1, "", ",\"key-2\"");
        try (var fleet = Installation.start(GOOD, STREAM)) {
            String withKey = get("/safe/x").replace("Token key-1", "Token key-2");
            fleet.store().configure(two.replace("\"version\":1", "\"version\":2"));
            Await.until("the key is known", () -> status(fleet, withKey) == 200);
            try (var seed =
                    TestRouter.start("edge-0", fleet.store().address(), fleet.router().peers())
                            .awaitReady()) {
                fleet.store().configure(Installation.configuration(3));
                fleet.store().remove("keyed.servers", "api-1");
                Await.until("the key is withdrawn", () -> status(fleet, withKey) == 401);
                Await.until("here too", () -> RawCaller.statusOf(seed.callers(), withKey) == 401);
                Await.pause(2_500);
                fleet.store().mode(StoreStandIn.Mode.BUSY);
                try (var restarted =
                        TestRouter.start("edge-2", fleet.store().address(), seed.peers())
                                .awaitReady()) {
                    int before = fleet.replica("api-1").requests().size();
                    assertThat(RawCaller.statusOf(restarted.callers(), withKey), is(401));
                    for (int i = 0; i < 20; i++) {
                        RawCaller.ask(restarted.callers(), get("/safe/" + i));
                    }
                    assertThat(fleet.replica("api-1").requests().size(), is(before));
                }
            }
        }
    }

    private static int status(Installation fleet, String text) {
        return RawCaller.statusOf(fleet.router().callers(), text);
    }
}
