package org.fescueport.platform;

import static org.fescueport.platform.Installation.get;
import static org.fescueport.platform.Installation.post;
import static org.fescueport.platform.ReplicaStandIn.chunk;
import static org.fescueport.platform.ReplicaStandIn.events;
import static org.fescueport.platform.ReplicaStandIn.headersFor;
import static org.fescueport.platform.Scripts.GOOD;
import static org.fescueport.platform.Scripts.STREAM;
import static org.fescueport.platform.Scripts.firstThen;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.time.Duration;
import org.fescueport.platform.RawServer.Request;
import org.fescueport.platform.RawServer.Script;
import org.fescueport.platform.RawServer.Wire;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Streams that stop in the middle while their replica stays connected. */
class StalledStreamTest {
    private static final String REPORTS_SPEED = "Fescueport-Replica-Load: 1,0,8,100\r\n";
    private static final String REPORTS_NO_SPEED = "Fescueport-Replica-Load: 1,0,8\r\n";

    /** Longest pause between events that the route declares. */
    private static final Duration PAUSE = Duration.ofMillis(250);

    /** Time in which the next replica begins, and slack for a busy machine that runs the test. */
    private static final Duration RETRY = Duration.ofMillis(500);

    private static void begin(Request request, Wire wire, String load) throws IOException {
        wire.write(
                "HTTP/1.1 200 OK\r\n"
                        + headersFor(request)
                        + load
                        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    /** Sends this text, then nothing more. */
    private static Script stallingAfter(String load, String text) {
        return (request, wire) -> {
            begin(request, wire, load);
            chunk(wire, text);
            wire.awaitClose();
        };
    }

    private static Script rest(int first) {
        return (request, wire) -> {
            begin(request, wire, REPORTS_SPEED);
            chunk(wire, events(first, 5));
            wire.write("0\r\n\r\n");
        };
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "id: 3\nda"})
    void shouldGoOnAtAnotherReplicaWithWholeEventsInOrder(String partial) throws Exception {
        Script stalling = stallingAfter(REPORTS_SPEED, events(1, 2) + partial);
        try (var fleet = Installation.start(GOOD, firstThen(stalling, rest(3)))) {
            long start = System.nanoTime();
            var answer = fleet.ask(post("/stream/x", "hello"));
            var took = Duration.ofNanos(System.nanoTime() - start);
            assertThat(answer.body(), is(events(1, 5)));
            assertThat(answer.complete(), is(true));
            assertThat(fleet.arrivals("llm"), is(2));
            assertThat(took, lessThan(PAUSE.multipliedBy(2).plus(RETRY)));
        }
    }

    /** A replica that sends nothing at all, not even a head. */
    @Test
    void shouldGoOnAtAnotherReplicaBeforeTheFirstEvent() throws Exception {
        Script silent = (request, wire) -> wire.awaitClose();
        Script speedy =
                (request, wire) ->
                        wire.answer(200, headersFor(request) + REPORTS_SPEED, "ok".getBytes());
        try (var fleet = Installation.start(speedy, firstThen(silent, rest(1)))) {
            assertThat(fleet.ask(get("/safe/x")).status(), is(200));
            var answer = fleet.ask(post("/stream/x", "hello"));
            assertThat(answer.body(), is(events(1, 5)));
            assertThat(answer.complete(), is(true));
        }
    }

    /**
     * The 900 ms after which any silent replica is left have not passed when the stream goes on.
     */
    @Test
    void shouldLeaveAStreamThatStallsWhereNoSpeedIsReported() throws Exception {
        Script pausing =
                (request, wire) -> {
                    begin(request, wire, REPORTS_NO_SPEED);
                    chunk(wire, events(1, 2));
                    Await.pause(600);
                    chunk(wire, events(3, 5));
                    wire.write("0\r\n\r\n");
                };
        try (var fleet = Installation.start(GOOD, pausing)) {
            assertThat(fleet.ask(post("/stream/x", "hello")).body(), is(events(1, 5)));
            assertThat(fleet.arrivals("llm"), is(1));
        }
    }

    @Test
    void shouldNeverMoveAStreamThatMayRunOnce() throws Exception {
        Script pausing =
                (request, wire) -> {
                    begin(request, wire, REPORTS_SPEED);
                    chunk(wire, events(1, 2));
                    Await.pause(1_000);
                    chunk(wire, events(3, 5));
                    wire.write("0\r\n\r\n");
                };
        try (var fleet = Installation.start(GOOD, pausing)) {
            assertThat(fleet.ask(post("/once/x", "hello")).body(), is(events(1, 5)));
            assertThat(fleet.arrivals("llm"), is(1));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "1", "-1,0,8", "1,0,8,-5", "1,0,8,0", "x,0,8,100", "1,0,8,1e99"})
    void shouldServeWhereALoadIsUnreadable(String load) throws Exception {
        Script odd =
                (request, wire) ->
                        wire.answer(
                                200,
                                headersFor(request) + "Fescueport-Replica-Load: " + load + "\r\n",
                                "ok".getBytes());
        try (var fleet = Installation.start(odd, STREAM)) {
            for (int i = 0; i < 3; i++) {
                assertThat(fleet.ask(get("/safe/x")).body(), is("ok"));
            }
            var metrics =
                    RawCaller.ask(
                            fleet.router().admin(), "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
            assertThat(metrics.body(), containsString("fescue_replica_loads_unreadable_count 3.0"));
        }
    }
}
