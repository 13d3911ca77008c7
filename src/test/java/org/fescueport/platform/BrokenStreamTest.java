package org.fescueport.platform;

import static org.fescueport.platform.Installation.post;
import static org.fescueport.platform.ReplicaStandIn.beginStream;
import static org.fescueport.platform.ReplicaStandIn.chunk;
import static org.fescueport.platform.ReplicaStandIn.events;
import static org.fescueport.platform.ReplicaStandIn.headersFor;
import static org.fescueport.platform.Scripts.GOOD;
import static org.fescueport.platform.Scripts.firstThen;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.util.List;
import org.fescueport.platform.RawServer.Request;
import org.fescueport.platform.RawServer.Script;
import org.fescueport.platform.RawServer.Wire;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Streams that break off, and what the next replica answers then. */
class BrokenStreamTest {
    private static final String EVENT_STREAM = "Content-Type: text/event-stream\r\n";
    private static final String NOT_EXECUTED = "Fescueport-Not-Executed: 1\r\n";
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

    /** Events that the first replica sends before its stream breaks off. */
    private static final int BEFORE = 2;

    /** The last event of a whole stream. */
    private static final int ALL = 5;

    private static final String REST = events(BEFORE + 1, ALL);
    private static final int LONG = 90_000;

    /** What the next replica answers, and the last event that the caller gets. */
    private enum Next {
        ERROR_500(sized(500, "", "failed")),
        ERROR_500_WITHOUT_BODY(sized(500, "", "")),
        ERROR_502(sized(502, "", "failed")),
        ERROR_503(sized(503, "", "full")),
        ERROR_503_WITHOUT_BODY(sized(503, "", "")),
        ERROR_503_NOT_EXECUTED(sized(503, NOT_EXECUTED, "full")),
        ERROR_503_NOT_EXECUTED_WITHOUT_BODY(sized(503, NOT_EXECUTED, "")),
        ERROR_429(sized(429, "", "later")),
        ERROR_429_NOT_EXECUTED(sized(429, NOT_EXECUTED, "later")),
        ERROR_421(sized(421, "", "other")),
        ERROR_408(sized(408, "", "late")),
        ERROR_400(sized(400, "", "bad")),
        ERROR_400_NOT_EXECUTED(sized(400, NOT_EXECUTED, "bad")),
        ERROR_404(sized(404, "", "none")),
        REDIRECT_302(sized(302, "Location: /elsewhere\r\n", "there")),
        ERROR_AS_A_STREAM(sized(500, EVENT_STREAM, REST)),
        ERROR_IN_CHUNKS(chunked(500, "", "failed")),
        ERROR_NOT_EXECUTED_IN_CHUNKS(chunked(503, NOT_EXECUTED, "full")),
        ERROR_ENDING_WITH_ITS_CONNECTION(closing(500, "", "failed")),
        ERROR_NOT_EXECUTED_ENDING_WITH_ITS_CONNECTION(closing(503, NOT_EXECUTED, "full")),
        LONG_ERROR(sized(500, "", "x".repeat(LONG))),
        LONG_ERROR_NOT_EXECUTED(sized(503, NOT_EXECUTED, "x".repeat(LONG))),
        LONG_ERROR_IN_CHUNKS(chunked(500, "", "x".repeat(LONG))),
        NO_CONTENT(
                (request, wire) -> wire.write("HTTP/1.1 204 X\r\n" + headersFor(request) + "\r\n")),
        PART(sized(206, EVENT_STREAM, REST)),
        OTHER_CONTENT_TYPE(sized(200, "Content-Type: application/json\r\n", "{}")),
        OTHER_CONTENT_TYPE_EMPTY(sized(200, "Content-Type: text/plain\r\n", "")),
        ENCODED(chunked(200, EVENT_STREAM + "Content-Encoding: gzip\r\n", REST)),
        OTHER_MODEL_VERSION(chunked(200, EVENT_STREAM + "Fescueport-Weight-Versions: 2\r\n", REST)),
        WITHOUT_STAMP(
                (request, wire) ->
                        wire.answer(
                                200,
                                EVENT_STREAM
                                        + "Fescueport-Attempt-Id: "
                                        + request.header("Fescueport-Attempt-Id")
                                        + "\r\n",
                                REST.getBytes())),
        TO_ANOTHER_REQUEST(
                (request, wire) ->
                        wire.answer(
                                200,
                                EVENT_STREAM
                                        + "Fescueport-Attempt-Id: other\r\n"
                                        + "Fescueport-Replica-Stamp: s\r\n",
                                REST.getBytes())),
        FROM_THE_START(stream(events(1, ALL))),
        FROM_BEYOND(stream(events(BEFORE + 2, ALL))),
        FROM_AN_EVENT_DELIVERED(stream(events(BEFORE, ALL))),
        WITH_EQUAL_IDS(stream(events(3, 3) + events(3, ALL)), 3, false),
        WITH_IDS_THAT_GO_BACK(stream(events(3, 4) + events(2, ALL)), 4, false),
        WITH_A_GAP_LATER(stream(events(3, 3) + events(5, 6)), 3, false),
        WITHOUT_IDS(stream("data: event 3\n\ndata: event 4\n\n")),
        WITH_EMPTY_IDS(stream("id:\ndata: event 3\n\n")),
        WITH_OTHER_IDS(stream("id: x3\ndata: event 3\n\n")),
        ENDED_INSIDE_AN_EVENT_IN_CHUNKS(stream(events(3, 3) + "id: 4\nda"), 3, false),
        ENDED_INSIDE_AN_EVENT(closing(200, EVENT_STREAM, events(3, 3) + "id: 4\nda"), 3, false),
        RESET(resetting(200, EVENT_STREAM, events(3, 3)), 3, false),
        GARBAGE((request, wire) -> wire.write("garbage\r\n\r\n")),
        CLOSED_WITHOUT_ANSWER((request, wire) -> wire.socket().close()),
        NOTHING((request, wire) -> wire.awaitClose()),
        INTERIM_THEN_ERROR(interimThen(sized(500, "", "failed"))),
        INTERIM_THEN_NOT_EXECUTED(interimThen(sized(503, NOT_EXECUTED, "full"))),
        INTERIM_THEN_REST(interimThen(stream(REST)), ALL, true),
        EMPTY_STREAM(stream(""), BEFORE, true),
        REST_IN_CHUNKS(stream(REST), ALL, true),
        REST_WITH_LENGTH(sized(200, EVENT_STREAM, REST), ALL, true),
        REST_ENDING_WITH_ITS_CONNECTION(closing(200, EVENT_STREAM, REST), ALL, true),
        REST_BEHIND_A_BYTE_ORDER_MARK(stream("\uFEFF" + REST), ALL, true);

        private final Script mScript;
        private final int mLast;
        private final boolean mComplete;

        Next(Script script) {
            this(script, BEFORE, false);
        }

        Next(Script script, int last, boolean complete) {
            mScript = script;
            mLast = last;
            mComplete = complete;
        }
    }

    /** How the first replica's stream breaks off. */
    private enum Break {
        RESET_IN_CHUNKS,
        CLOSED_IN_CHUNKS,
        CLOSED_BEFORE_ITS_LENGTH,
        RESET_WITHOUT_LENGTH,
        CLOSED_INSIDE_AN_EVENT_WITHOUT_LENGTH;

        /** Sends the text and breaks off. */
        Script after(String text) {
            return (request, wire) -> {
                switch (this) {
                    case RESET_IN_CHUNKS, CLOSED_IN_CHUNKS -> {
                        head(request, wire, 200, EVENT_STREAM + CHUNKED);
                        chunk(wire, text);
                    }
                    case CLOSED_BEFORE_ITS_LENGTH -> {
                        head(request, wire, 200, EVENT_STREAM + "Content-Length: 9000\r\n");
                        wire.write(text);
                    }
                    default -> {
                        head(request, wire, 200, EVENT_STREAM);
                        wire.write(text);
                    }
                }
                Await.pause(50);
                if (this == RESET_IN_CHUNKS || this == RESET_WITHOUT_LENGTH) {
                    wire.reset();
                } else {
                    wire.socket().close();
                }
            };
        }
    }

    private static void head(Request request, Wire wire, int status, String headers)
            throws IOException {
        String version =
                headers.contains("Weight-Versions") ? "" : "Fescueport-Weight-Versions: 1\r\n";
        wire.write(
                "HTTP/1.1 " + status + " X\r\n" + headersFor(request) + version + headers + "\r\n");
    }

    private static Script sized(int status, String headers, String body) {
        return (request, wire) -> {
            head(request, wire, status, headers + "Content-Length: " + body.length() + "\r\n");
            wire.write(body);
        };
    }

    private static Script chunked(int status, String headers, String body) {
        return (request, wire) -> {
            head(request, wire, status, headers + CHUNKED);
            if (!body.isEmpty()) {
                wire.write(Integer.toHexString(body.getBytes().length) + "\r\n" + body + "\r\n");
            }
            wire.write("0\r\n\r\n");
        };
    }

    private static Script stream(String text) {
        return chunked(200, EVENT_STREAM, text);
    }

    private static Script closing(int status, String headers, String body) {
        return (request, wire) -> {
            head(request, wire, status, headers);
            wire.write(body);
            wire.socket().close();
        };
    }

    private static Script resetting(int status, String headers, String body) {
        return (request, wire) -> {
            head(request, wire, status, headers);
            wire.write(body);
            Await.pause(50);
            wire.reset();
        };
    }

    private static Script interimThen(Script script) {
        return (request, wire) -> {
            wire.write("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n");
            script.answer(request, wire);
        };
    }

    @ParameterizedTest
    @EnumSource(Next.class)
    void shouldGoOnOnlyWithEventsThatFollow(Next next) throws Exception {
        Script broken = Break.RESET_IN_CHUNKS.after(events(1, BEFORE) + "id: 3\nda");
        try (var fleet = Installation.start(GOOD, firstThen(broken, next.mScript))) {
            var answer = fleet.ask(post("/stream/x", "hello"));
            assertThat(answer.status(), is(200));
            assertThat(answer.body(), is(events(1, next.mLast)));
            assertThat(answer.complete(), is(next.mComplete));
            assertThat(fleet.arrivals("llm"), is(2));
        }
    }

    @ParameterizedTest
    @EnumSource(Break.class)
    void shouldResumeAStreamHoweverItBreaksOff(Break how) throws Exception {
        Script broken = how.after(events(1, BEFORE) + "id: 3\nda");
        try (var fleet = Installation.start(GOOD, firstThen(broken, stream(REST)))) {
            var answer = fleet.ask(post("/stream/x", "hello"));
            assertThat(answer.body(), is(events(1, ALL)));
            assertThat(answer.complete(), is(true));
        }
    }

    @ParameterizedTest
    @EnumSource(Break.class)
    void shouldCutAStreamThatMayRunOnceHoweverItBreaksOff(Break how) throws Exception {
        String text = events(1, BEFORE) + "id: 3\nda";
        try (var fleet = Installation.start(GOOD, how.after(text))) {
            var answer = fleet.ask(post("/once/x", "hello"));
            assertThat(answer.status(), is(200));
            assertThat(answer.body(), is(text));
            assertThat(answer.complete(), is(false));
            assertThat(fleet.arrivals("llm"), is(1));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/stream/x"})
    void shouldNotCompleteAStreamThatIsResetBehindAWholeEvent(String path) throws Exception {
        Script reset = resetting(200, EVENT_STREAM, events(1, BEFORE));
        Script failing = sized(500, "", "failed");
        try (var fleet = Installation.start(GOOD, firstThen(reset, failing))) {
            var answer = fleet.ask(post(path, "hello"));
            assertThat(answer.body(), is(events(1, BEFORE)));
            assertThat(answer.complete(), is(false));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "id: 3",
                "id: 3\n",
                "id: 3\ndata: a",
                "id: 3\ndata: a\n",
                "id: 3\ndata: a\ndata: b\n",
                "id: 3\r\ndata: a\r\n",
                "id: 3\r\ndata: a\r\n\r",
                "id: 3\rdata: a\r",
                "data",
                ":comment",
                ":comment\n",
            })
    void shouldNotCompleteAStreamThatEndsInsideAnEvent(String tail) throws Exception {
        Script ended = closing(200, EVENT_STREAM, events(1, BEFORE) + tail);
        Script rest = firstThen(ended, stream(REST));
        try (var fleet = Installation.start(GOOD, rest)) {
            var answer = fleet.ask(post("/stream/x", "hello"));
            assertThat(answer.body(), is(events(1, ALL)));
            assertThat(answer.complete(), is(true));
        }
        try (var fleet = Installation.start(GOOD, ended)) {
            var answer = fleet.ask(post("/once/x", "hello"));
            assertThat(answer.body(), is(events(1, BEFORE) + tail));
            assertThat(answer.complete(), is(false));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "id: 1\ndata: a\n\n",
                "id: 1\r\ndata: a\r\n\r\n",
                "id: 1\rdata: a\r\r",
                "id: 1\ndata: a\ndata: b\n\n:comment\n\n",
                "\uFEFFid: 1\ndata: a\n\n",
                "id: 1\ndata: a\n\n\n",
                "id: 1\r\ndata: a\n\r\n",
            })
    void shouldCompleteAStreamThatEndsWithItsConnectionBehindAWholeEvent(String text)
            throws Exception {
        try (var fleet = Installation.start(GOOD, closing(200, EVENT_STREAM, text))) {
            for (String path : List.of("/once/x", "/stream/x")) {
                var answer = fleet.ask(post(path, "hello"));
                assertThat(path, answer.body(), is(text));
                assertThat(path, answer.complete(), is(true));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/stream/x"})
    void shouldCompleteAnAnswerThatIsNoStreamOfEvents(String path) throws Exception {
        Script json = closing(200, "Content-Type: application/json\r\n", "{\"a\":\n1}");
        try (var fleet = Installation.start(GOOD, json)) {
            var answer = fleet.ask(post(path, "hello"));
            assertThat(answer.body(), is("{\"a\":\n1}"));
            assertThat(answer.complete(), is(true));
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Next.class,
            names = {"ERROR_500", "ERROR_404", "ERROR_503_NOT_EXECUTED", "RESET", "NO_CONTENT"})
    void shouldAnswerAsTheNextReplicaWhenNoWholeEventHadCome(Next next) throws Exception {
        Script broken = Break.RESET_IN_CHUNKS.after("id: 1\nda");
        try (var fleet = Installation.start(GOOD, firstThen(broken, next.mScript))) {
            var answer = fleet.ask(post("/stream/x", "hello"));
            switch (next) {
                case ERROR_500 -> assertThat(answer.status() + answer.body(), is("500failed"));
                case ERROR_404 -> assertThat(answer.status() + answer.body(), is("404none"));
                case NO_CONTENT -> assertThat(answer.status() + answer.body(), is("204"));
                case RESET -> {
                    assertThat(answer.body(), is(events(3, 3)));
                    assertThat(answer.complete(), is(false));
                }
                default -> assertThat(answer.status(), is(502));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "id: 1\nda", ":comment\nid: 1\nda"})
    void shouldStartAgainWhenNoWholeEventHadCome(String text) throws Exception {
        Script broken = Break.RESET_WITHOUT_LENGTH.after(text);
        Script whole = stream(events(1, ALL));
        try (var fleet = Installation.start(GOOD, firstThen(broken, whole))) {
            var answer = fleet.ask(post("/stream/x", "hello"));
            assertThat(answer.body(), is(events(1, ALL)));
            assertThat(answer.complete(), is(true));
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Next.class,
            names = {
                "ERROR_500",
                "ERROR_503_NOT_EXECUTED",
                "NO_CONTENT",
                "OTHER_CONTENT_TYPE",
                "FROM_THE_START",
                "WITH_EQUAL_IDS",
                "ENDED_INSIDE_AN_EVENT_IN_CHUNKS"
            })
    void shouldResumeAtAThirdReplicaWhenTheSecondDoesNotContinue(Next second) throws Exception {
        Script broken = Break.RESET_IN_CHUNKS.after(events(1, BEFORE) + "id: 3\nda");
        Script rest =
                (request, wire) -> {
                    int last = Integer.parseInt(request.header("Last-Event-Id"));
                    stream(events(last + 1, ALL)).answer(request, wire);
                };
        Script script = firstThen(broken, firstThen(second.mScript, rest));
        try (var fleet = Installation.start(GOOD, script);
                var third = ReplicaStandIn.start("llm-3", "llm", script)) {
            third.register(fleet.store(), "ready");
            String attempts = "\"service\":\"llm\",\"max_attempts\":";
            fleet.store()
                    .configure(Installation.configuration(2).replace(attempts + 2, attempts + 3));
            Await.pause(1_500);
            var answer = fleet.ask(post("/stream/x", "hello"));
            assertThat(answer.body(), is(events(1, ALL)));
            assertThat(answer.complete(), is(true));
        }
    }

    @Test
    void shouldStartAgainBehindAComment() throws Exception {
        Script broken = Break.RESET_IN_CHUNKS.after(":comment\n\nid: 1\nda");
        Script whole = stream(events(1, ALL));
        try (var fleet = Installation.start(GOOD, firstThen(broken, whole))) {
            var answer = fleet.ask(post("/stream/x", "hello"));
            assertThat(answer.body(), is(":comment\n\n" + events(1, ALL)));
            assertThat(answer.complete(), is(true));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "data: b\n\n",
                "id:\ndata: b\n\n",
                "id: b\ndata: b\n\n",
                "id: 2\ndata: again\n\n",
                "id: 1\ndata: again\n\n",
            })
    void shouldNotResumeBehindAnEventWhoseIdDoesNotTellWhere(String event) throws Exception {
        String text = events(1, BEFORE) + event;
        Script broken = Break.RESET_IN_CHUNKS.after(text);
        try (var fleet = Installation.start(GOOD, firstThen(broken, stream(REST)))) {
            var answer = fleet.ask(post("/stream/x", "hello"));
            assertThat(answer.body(), is(text));
            assertThat(answer.complete(), is(false));
        }
    }

    @Test
    void shouldResumeStreamsWhoseIdsDoNotCountByOne() throws Exception {
        String before = events(10, 10) + events(16, 16);
        Script broken = Break.RESET_IN_CHUNKS.after(before);
        String rest = events(22, 22) + events(23, 23);
        try (var fleet = Installation.start(GOOD, firstThen(broken, stream(rest)))) {
            var answer = fleet.ask(post("/stream/x", "hello"));
            assertThat(answer.body(), is(before + rest));
            assertThat(answer.complete(), is(true));
        }
    }

    @Test
    void shouldForwardEventsWhoseLinesEndWithCarriageReturnsAsTheyArrive() throws Exception {
        Script script =
                (request, wire) -> {
                    beginStream(request, wire);
                    chunk(wire, "id: 1\rdata: a\r\r");
                    wire.awaitClose();
                };
        try (var fleet = Installation.start(GOOD, script);
                var caller = RawCaller.connect(fleet.router().callers())) {
            caller.send(post("/stream/x", "hello"));
            caller.receiveThrough("id: 1\rdata: a\r\r");
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {5, LONG})
    void shouldTellACutFromTheEndOfAPlainAnswerThatEndsWithItsConnection(int length)
            throws Exception {
        String body = "x".repeat(length);
        for (String path : List.of("/safe/x", "/unsafe/x")) {
            try (var fleet = Installation.start(closing(200, "", body), GOOD)) {
                var answer = fleet.ask(post(path, "hello"));
                assertThat(path, answer.body().length(), is(length));
                assertThat(path, answer.complete(), is(true));
            }
            try (var fleet = Installation.start(resetting(200, "", body), GOOD)) {
                var answer = fleet.ask(post(path, "hello"));
                boolean failed = answer.status() == 502 || !answer.complete();
                assertThat(path, failed, is(true));
            }
        }
    }
}
