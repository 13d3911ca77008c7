package org.fescueport.platform;

import static org.fescueport.platform.Installation.get;
import static org.fescueport.platform.Installation.post;
import static org.fescueport.platform.Installation.request;
import static org.fescueport.platform.ReplicaStandIn.beginStream;
import static org.fescueport.platform.ReplicaStandIn.chunk;
import static org.fescueport.platform.ReplicaStandIn.events;
import static org.fescueport.platform.Scripts.GOOD;
import static org.fescueport.platform.Scripts.STREAM;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueport.platform.RawServer.Script;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StoppingTest {
    @Test
    void shouldRefuseALateRequestWhileStopping() throws Exception {
        Script script = (request, wire) -> wire.awaitClose();
        try (var fleet = Installation.start(GOOD, script)) {
            fleet.router().stop();
            Await.pause(200);
            assertThat(fleet.ask(get("/safe/x")).status(), is(200));
            Await.pause(2_700);
            try (var held = RawCaller.connect(fleet.router().callers())) {
                held.send(post("/stream/x", "hello"));
                Await.until("a request is under way", () -> fleet.arrivals("llm") == 1);
                Await.pause(1_600);
                var answer = fleet.ask(LONG_REQUEST);
                assertThat(answer.status(), is(503));
                assertThat(answer.header("Retry-After"), notNullValue());
                assertThat(fleet.ask(get("/safe/x")).status(), is(200));
            }
        }
    }

    /** A request that may last far longer than the node will. */
    private static final String LONG_REQUEST =
            post("/stream/x", "hello").replace("Deadline-Ms: 2000", "Deadline-Ms: 15000");

    private static Installation startWithLongRoutes(Script llm) throws Exception {
        var fleet = Installation.start(GOOD, llm);
        fleet.store().configure(Installation.configuration(2).replace("3000,\"tar", "15000,\"tar"));
        Await.until(
                "the longer timeouts are in force",
                () -> fleet.router().lines().contains("\"version\":2"));
        return fleet;
    }

    /** A stream that goes on for longer than the node will. */
    private static final Script LONG_STREAM =
            (request, wire) -> {
                beginStream(request, wire);
                for (int i = 1; i <= 100; i++) {
                    chunk(wire, events(i, i));
                    Await.pause(100);
                }
            };

    @ParameterizedTest
    @ValueSource(ints = {2_300, 3_050, 5_000})
    void shouldNotAcceptALongRequestAndCutItOnceTheLoadBalancerKnows(int delayMs) throws Exception {
        try (var fleet = startWithLongRoutes(LONG_STREAM);
                var first = RawCaller.connect(fleet.router().callers())) {
            first.send(LONG_REQUEST);
            Await.until("a request is under way", () -> fleet.arrivals("llm") == 1);
            fleet.router().stop();
            Await.pause(delayMs);
            var answer = fleet.ask(LONG_REQUEST);
            assertThat(answer.status(), is(503));
            assertThat(answer.header("Retry-After"), notNullValue());
            assertThat(fleet.arrivals("llm"), is(1));
        }
    }

    @Test
    void shouldAnswerARequestWithoutAResponseBeforeItEnds() throws Exception {
        Script script = (request, wire) -> wire.awaitClose();
        try (var fleet = startWithLongRoutes(script);
                var caller = RawCaller.connect(fleet.router().callers())) {
            caller.send(LONG_REQUEST.replace("/stream/", "/once/"));
            Await.until("a request is under way", () -> fleet.arrivals("llm") == 1);
            fleet.router().stop().get(10, TimeUnit.SECONDS);
            assertThat(caller.receive().status(), is(502));
        }
    }

    @Test
    void shouldCountTheTimesOfAStopFromTheSignalWhenTheLoopIsBusy() throws Exception {
        try (var fleet = startWithLongRoutes(LONG_STREAM);
                var first = RawCaller.connect(fleet.router().callers())) {
            first.send(LONG_REQUEST);
            Await.until("a request is under way", () -> fleet.arrivals("llm") == 1);
            fleet.router().stall(Duration.ofMillis(1_500));
            fleet.router().stop();
            Await.pause(2_300);
            assertThat(fleet.ask(LONG_REQUEST).status(), is(503));
        }
    }

    @Test
    void shouldServeAConnectionMadeWhileStoppingThatAsksALittleLater() throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM)) {
            fleet.router().stop();
            Await.pause(100);
            for (int i = 0; i < 4; i++) {
                try (var caller = RawCaller.connect(fleet.router().callers())) {
                    Await.pause(300);
                    caller.send(get("/safe/x"));
                    assertThat(caller.receive().status(), is(200));
                }
            }
        }
    }

    /** What connects behind its last look would be cut by its end. */
    @Test
    void shouldListenNoMoreOnceItHasDecidedToEnd() throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM)) {
            var heard = fleet.router().stop().thenApply(done -> canConnect(fleet));
            assertThat(heard.get(10, TimeUnit.SECONDS), is(false));
        }
    }

    private static boolean canConnect(Installation fleet) {
        try (var caller = RawCaller.connect(fleet.router().callers())) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Test
    void shouldAnswerWhatItHasAcceptedBeforeItEnds() throws Exception {
        Script script =
                (request, wire) -> {
                    Await.pause(100);
                    GOOD.answer(request, wire);
                };
        try (var fleet = Installation.start(script, STREAM)) {
            var ended = fleet.router().stop().thenRunAsync(() -> endSlowly(fleet.router()));
            Await.pause(2_900);
            var answered = new AtomicInteger();
            List<Thread> callers = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                String name = "id-" + i + "-";
                callers.add(
                        Thread.ofVirtual()
                                .start(
                                        () -> {
                                            for (int n = 0; !ended.isDone(); n++) {
                                                String id = name + n;
                                                answered.addAndGet(answers(fleet, id));
                                                Await.pause(90);
                                            }
                                        }));
            }
            for (var caller : callers) {
                caller.join();
            }
            int all = answered.get();
            assertThat(all, greaterThan(3));
            assertThat(fleet.arrivals("api"), is(all));
        }
    }

    /** A process takes a few tens of milliseconds to end. */
    private static void endSlowly(TestRouter router) {
        Await.pause(60);
        router.close();
    }

    /** A connection that is refused or closed unread is no answer, and was passed on to nobody. */
    private static int answers(Installation fleet, String id) {
        try {
            return fleet.ask(request("POST", "/unsafe/x", id, "siren")).status() == 200 ? 1 : 0;
        } catch (IOException e) {
            return 0;
        }
    }

    @Test
    void shouldSayThatItIsNotReadyAndEndOnceNothingIsUnderWay() throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM)) {
            String ready = "GET /api/readyz HTTP/1.1\r\nHost: h\r\n\r\n";
            assertThat(RawCaller.ask(fleet.router().admin(), ready).status(), is(200));
            var stopped = fleet.router().stop();
            Await.until("it is not ready", () -> status(fleet, ready) == 503);
            Await.until("it has stopped", stopped::isDone);
        }
    }

    private static int status(Installation fleet, String request) {
        return RawCaller.statusOf(fleet.router().admin(), request);
    }
}
