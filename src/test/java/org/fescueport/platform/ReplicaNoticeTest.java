package org.fescueport.platform;

import static org.fescueport.platform.Installation.get;
import static org.fescueport.platform.Installation.post;
import static org.fescueport.platform.Installation.request;
import static org.fescueport.platform.ReplicaStandIn.headersFor;
import static org.fescueport.platform.Scripts.GOOD;
import static org.fescueport.platform.Scripts.STREAM;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.notNullValue;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.fescueport.platform.RawServer.Script;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What replicas say in their answers about new work, against the whole router. */
class ReplicaNoticeTest {
    private static final byte[] NOTHING = new byte[0];

    /** A node reads the list of replicas at least this often. */
    private static final long LIST_READ_MS = 1_000;

    private int mAsked;

    /** Answers well and says that it leaves. */
    private static final Script LEAVING =
            (request, wire) ->
                    wire.answer(200, headersFor(request) + "Server-Leaving: 1\r\n", NOTHING);

    /** Has not run the request and asks for a pause. */
    private static Script full(String retryAfter) {
        return (request, wire) ->
                wire.answer(
                        503,
                        "Fescueport-Not-Executed: 1\r\nFescueport-Attempt-Id: "
                                + request.header("Fescueport-Attempt-Id")
                                + "\r\nRetry-After: "
                                + retryAfter
                                + "\r\n",
                        NOTHING);
    }

    private static void askUntilReached(Installation fleet, String replica) throws Exception {
        for (int i = 0; fleet.replica(replica).requests().isEmpty(); i++) {
            assertThat("no request in 200 reached " + replica, i, is(Math.min(i, 200)));
            fleet.ask(request("GET", "/safe/" + i, "id-" + i, ""));
        }
    }

    private static int arrivalsAfter(Installation fleet, String replica, int requests)
            throws Exception {
        int before = fleet.replica(replica).requests().size();
        for (int i = 0; i < requests; i++) {
            fleet.ask(request("GET", "/safe/later-" + i, "later-" + i, ""));
        }
        return fleet.replica(replica).requests().size() - before;
    }

    @ParameterizedTest
    @ValueSource(strings = {"GOOD", "BUSY", "SILENT"})
    void shouldSendNothingMoreToAReplicaThatSaysItLeavesWhateverTheStoreDoes(StoreStandIn.Mode mode)
            throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM)) {
            fleet.store().mode(mode);
            fleet.replica("api-1").script(LEAVING);
            askUntilReached(fleet, "api-1");
            assertThat(arrivalsAfter(fleet, "api-1", 40), is(0));
            Await.until(
                    "the notice is logged",
                    () -> fleet.router().lines().contains("replica-notice"));
        }
    }

    @Test
    void shouldNotTakeAnEntryThatSaysReadyForANewLife() throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM)) {
            fleet.replica("api-1").script(LEAVING);
            askUntilReached(fleet, "api-1");
            fleet.store().remove("keyed.servers", "api-1");
            Await.pause(300);
            fleet.replica("api-1").register(fleet.store(), "ready");
            Await.pause(2 * LIST_READ_MS);
            assertThat(arrivalsAfter(fleet, "api-1", 40), is(0));
        }
    }

    @Test
    void shouldUseANewLifeOfAReplicaThatHadSaidItLeaves() throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM)) {
            fleet.replica("api-1").script(LEAVING);
            askUntilReached(fleet, "api-1");
            fleet.replica("api-1").crash();
            fleet.replica("api-1").startAgain(fleet.store(), GOOD);
            int before = fleet.replica("api-1").requests().size();
            Await.until(
                    "the new life is used",
                    () -> {
                        // The id decides where a request without a prompt goes.
                        String text = request("GET", "/safe/x", "again-" + mAsked++, "");
                        RawCaller.statusOf(fleet.router().callers(), text);
                        return fleet.replica("api-1").requests().size() > before;
                    });
        }
    }

    @Test
    void shouldForgetWithItsProcessWhatReplicasHadSaid() throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM)) {
            fleet.replica("api-1").script(LEAVING);
            askUntilReached(fleet, "api-1");
            fleet.replica("api-1").script(GOOD);
            try (var other = TestRouter.start("edge-2", fleet.store().address()).awaitReady()) {
                int before = fleet.replica("api-1").requests().size();
                for (int i = 0; i < 40; i++) {
                    RawCaller.ask(other.callers(), request("GET", "/safe/x", "o-" + i, ""));
                }
                int more = fleet.replica("api-1").requests().size() - before;
                assertThat(more, is(greaterThan(0)));
            }
        }
    }

    @Test
    void shouldGoOnWithAStreamElsewhereThanAtAReplicaThatLeaves() throws Exception {
        Script cut =
                (request, wire) -> {
                    wire.write(
                            "HTTP/1.1 200 OK\r\nServer-Leaving: 1\r\n"
                                    + headersFor(request)
                                    + "Content-Type: text/event-stream\r\n"
                                    + "Transfer-Encoding: chunked\r\n\r\n");
                    ReplicaStandIn.chunk(wire, ReplicaStandIn.events(1, 1));
                    wire.reset();
                };
        try (var fleet = Installation.start(GOOD, cut)) {
            fleet.ask(post("/stream/x", "prompt"));
            assertThat(fleet.arrivals("llm"), is(2));
            var refused = fleet.ask(request("POST", "/stream/y", "id-2", "prompt"));
            assertThat(refused.status(), is(503));
            assertThat(fleet.arrivals("llm"), is(2));
        }
    }

    @Test
    void shouldRefuseAtOnceWithWhenTheFirstOpensOnceAllHaveAskedForAPause() throws Exception {
        try (var fleet = Installation.start(full("1.25"), STREAM)) {
            fleet.ask(get("/safe/first"));
            fleet.ask(request("GET", "/safe/second", "id-2", ""));
            int sent = fleet.arrivals("api");
            long begun = System.nanoTime();
            var refused = fleet.ask(request("POST", "/unsafe/third", "id-3", "siren"));
            double millis = (System.nanoTime() - begun) / 1e6;
            assertThat(refused.status(), is(503));
            assertThat(millis, is(lessThan(200.0)));
            double told = Double.parseDouble(refused.header("Retry-After"));
            assertThat(told, is(closeTo(1.2, 0.3)));
            assertThat(fleet.arrivals("api"), is(sent));
        }
    }

    @Test
    void shouldUseAReplicaAgainWhenItsPauseIsOver() throws Exception {
        try (var fleet = Installation.start(full("0.6"), STREAM)) {
            fleet.ask(get("/safe/first"));
            fleet.ask(request("GET", "/safe/second", "id-2", ""));
            fleet.replica("api-1").script(GOOD);
            fleet.replica("api-2").script(GOOD);
            assertThat(fleet.ask(request("GET", "/safe/3", "id-3", "")).status(), is(503));
            Await.pause(700);
            assertThat(fleet.ask(request("GET", "/safe/4", "id-4", "")).status(), is(200));
        }
    }

    @Test
    void shouldLetRequestsInFlightEndWhenAPauseIsAskedFor() throws Exception {
        var both = new CountDownLatch(2);
        Script slow =
                (request, wire) -> {
                    both.countDown();
                    both.await();
                    if (request.header("Fescueport-Attempt-Id").equals("id-1")) {
                        full("5").answer(request, wire);
                    } else {
                        Await.pause(300);
                        GOOD.answer(request, wire);
                    }
                };
        try (var fleet = Installation.start(slow, STREAM)) {
            fleet.replica("api-2").register(fleet.store(), "draining");
            Await.until(
                    "api-2 is known to leave",
                    () -> fleet.router().lines().contains("replica-leaving"));
            var first = askLater(fleet, "id-1");
            var second = askLater(fleet, "id-2");
            assertThat(first.get(), is(503));
            assertThat(second.get(), is(200));
            assertThat(fleet.ask(request("POST", "/unsafe/x", "id-3", "s")).status(), is(503));
            assertThat(fleet.arrivals("api"), is(2));
        }
    }

    private static CompletableFuture<Integer> askLater(Installation fleet, String id) {
        String text = request("POST", "/unsafe/x", id, "siren");
        return CompletableFuture.supplyAsync(
                () -> RawCaller.statusOf(fleet.router().callers(), text));
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "0.0", "-1", "soon", "NaN", "1e3", ""})
    void shouldIgnoreAPauseOfNothingOrOneThatCannotBeRead(String retryAfter) throws Exception {
        try (var fleet = Installation.start(full(retryAfter), STREAM)) {
            fleet.ask(get("/safe/first"));
            fleet.replica("api-1").script(GOOD);
            fleet.replica("api-2").script(GOOD);
            assertThat(fleet.ask(request("GET", "/safe/2", "id-2", "")).status(), is(200));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"86400", "99999999999999999999"})
    void shouldTakeAnAbsurdPauseForAVeryLongOne(String retryAfter) throws Exception {
        try (var fleet = Installation.start(full(retryAfter), STREAM)) {
            fleet.ask(get("/safe/first"));
            fleet.ask(request("GET", "/safe/2", "id-2", ""));
            int sent = fleet.arrivals("api");
            assertThat(fleet.ask(request("GET", "/safe/3", "id-3", "")).status(), is(503));
            assertThat(fleet.arrivals("api"), is(sent));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"0", "yes", "2"})
    void shouldLoseNoAnswerForALeavingHeaderThatIsNoneOrCannotBeRead(String value)
            throws Exception {
        Script script =
                (request, wire) ->
                        wire.answer(
                                200,
                                headersFor(request) + "Server-Leaving: " + value + "\r\n",
                                "whole".getBytes());
        try (var fleet = Installation.start(script, STREAM)) {
            for (int i = 0; i < 20; i++) {
                var answer = fleet.ask(request("GET", "/safe/" + i, "id-" + i, ""));
                assertThat(answer.body(), is("whole"));
            }
        }
    }

    @Test
    void shouldHeedThePauseOfA503ThatMayHaveRunAndNotSayNotRun() throws Exception {
        Script mayHaveRun =
                (request, wire) ->
                        wire.answer(503, headersFor(request) + "Retry-After: 5\r\n", NOTHING);
        try (var fleet = Installation.start(mayHaveRun, STREAM)) {
            assertThat(fleet.ask(post("/unsafe/x", "siren")).status(), is(502));
            assertThat(fleet.ask(request("POST", "/unsafe/x", "id-2", "s")).status(), is(502));
            assertThat(fleet.arrivals("api"), is(2));
            var refused = fleet.ask(request("POST", "/unsafe/x", "id-3", "siren"));
            assertThat(refused.status(), is(503));
            assertThat(refused.header("Retry-After"), is(notNullValue()));
            assertThat(fleet.arrivals("api"), is(2));
        }
    }
}
