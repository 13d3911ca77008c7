package org.fescueport.platform;

import static org.fescueport.platform.Installation.post;
import static org.fescueport.platform.Installation.request;
import static org.fescueport.platform.ReplicaStandIn.beginStream;
import static org.fescueport.platform.ReplicaStandIn.chunk;
import static org.fescueport.platform.ReplicaStandIn.events;
import static org.fescueport.platform.ReplicaStandIn.headersFor;
import static org.fescueport.platform.Scripts.GOOD;
import static org.fescueport.platform.Scripts.STREAM;
import static org.fescueport.platform.Scripts.firstThen;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.util.concurrent.CompletableFuture;
import org.fescueport.platform.RawServer.Script;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StreamsTest {
    /** Sends two events and then resets the connection. */
    private static final Script BROKEN =
            (request, wire) -> {
                beginStream(request, wire);
                chunk(wire, events(1, 2));
                Await.pause(50);
                wire.reset();
            };

    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/stream/x"})
    void shouldForwardBytesAfterTheLastEvent(String path) throws Exception {
        String text = events(1, 2) + "id: 3\ndata: unended";
        Script script =
                (request, wire) -> {
                    beginStream(request, wire);
                    chunk(wire, text);
                    wire.write("0\r\n\r\n");
                };
        try (var fleet = Installation.start(GOOD, script)) {
            assertThat(fleet.ask(post(path, "hello")).body(), is(text));
        }
    }

    @Test
    void shouldNotRestartStreamWithoutEventIds() throws Exception {
        Script lost =
                (request, wire) -> {
                    beginStream(request, wire);
                    chunk(wire, "data: one\n\n");
                    Await.pause(100);
                    wire.reset();
                };
        try (var fleet = Installation.start(GOOD, firstThen(lost, STREAM))) {
            var answer = fleet.ask(post("/stream/x", "hello"));
            assertThat(answer.complete(), is(false));
            assertThat(answer.body(), is("data: one\n\n"));
        }
    }

    @Test
    void shouldResumeOnAnotherReplicaWhenAStreamEndsInsideAnEvent() throws Exception {
        Script ended =
                (request, wire) -> {
                    wire.write(
                            "HTTP/1.1 200 OK\r\n"
                                    + headersFor(request)
                                    + "Content-Type: text/event-stream\r\n"
                                    + "Connection: close\r\n\r\n"
                                    + events(1, 1)
                                    + "id: 2\nda");
                    wire.socket().close();
                };
        Script rest =
                (request, wire) -> {
                    beginStream(request, wire);
                    chunk(wire, events(2, 3));
                    wire.write("0\r\n\r\n");
                };
        try (var fleet = Installation.start(GOOD, firstThen(ended, rest))) {
            var answer = fleet.ask(post("/stream/x", "hello"));
            assertThat(answer.body(), is(events(1, 3)));
            assertThat(answer.complete(), is(true));
        }
    }

    @Test
    void shouldForwardEventsAsTheyArrive() throws Exception {
        var proceed = new CompletableFuture<Void>();
        Script script =
                (request, wire) -> {
                    beginStream(request, wire);
                    chunk(wire, events(1, 1));
                    proceed.join();
                    chunk(wire, events(2, 2));
                    wire.write("0\r\n\r\n");
                };
        try (var fleet = Installation.start(GOOD, script);
                var caller = RawCaller.connect(fleet.router().callers())) {
            caller.send(post("/stream/x", "hello"));
            String before = caller.receiveThrough(events(1, 1));
            assertThat(before, startsWith("HTTP/1.1 200"));
            proceed.complete(null);
            var answer = RawCaller.parse(before + caller.receiveThrough("\r\n0\r\n\r\n"));
            assertThat(answer.body(), is(events(1, 2)));
            assertThat(answer.complete(), is(true));
        }
    }

    @Test
    void shouldResumeBrokenStreamAfterTheLastCompleteEvent() throws Exception {
        Script broken =
                (request, wire) -> {
                    beginStream(request, wire);
                    chunk(wire, events(1, 2) + "id: 3\ndata: ev");
                    Await.pause(50);
                    wire.reset();
                };
        Script rest =
                (request, wire) -> {
                    int last = Integer.parseInt(request.header("Last-Event-Id"));
                    beginStream(request, wire);
                    chunk(wire, events(last + 1, 5));
                    wire.write("0\r\n\r\n");
                };
        try (var fleet = Installation.start(GOOD, firstThen(broken, rest))) {
            var answer = fleet.ask(post("/stream/x", "hello"));
            assertThat(answer.body(), is(events(1, 5)));
            assertThat(answer.complete(), is(true));
            assertThat(fleet.arrivals("llm"), is(2));
        }
    }

    @Test
    void shouldNotRestartUnrepeatableStream() throws Exception {
        try (var fleet = Installation.start(GOOD, BROKEN)) {
            var answer = fleet.ask(post("/once/x", "hello"));
            assertThat(answer.complete(), is(false));
            assertThat(answer.body(), is(events(1, 2)));
            assertThat(fleet.arrivals("llm"), is(1));
        }
    }

    @Test
    void shouldNotCompleteStreamWhenTheResumingReplicaFails() throws Exception {
        Script failing = (request, wire) -> wire.answer(500, headersFor(request), "no".getBytes());
        try (var fleet = Installation.start(GOOD, firstThen(BROKEN, failing))) {
            var answer = fleet.ask(post("/stream/x", "hello"));
            assertThat(answer.complete(), is(false));
            assertThat(answer.body(), is(events(1, 2)));
        }
    }
}
