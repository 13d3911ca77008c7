package org.fescueport.platform;

import static org.fescueport.platform.Installation.post;
import static org.fescueport.platform.Installation.request;
import static org.fescueport.platform.ReplicaStandIn.headersFor;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.Map;
import org.fescueport.platform.RawServer.Script;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes behind an answer that the caller takes for its next answer (RFC 9112). */
class AnswerFramingTest {
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
    private static final String NOT_RUN = "Fescueport-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

    /** What follows the status and the usual headers, by the last segment of the path. */
    private static final Map<String, String> ANSWERS =
            Map.ofEntries(
                    Map.entry("200-length", "Content-Length: 5\r\n\r\n"),
                    Map.entry("200-chunked", CHUNKED),
                    Map.entry("200-neither", "\r\n"),
                    Map.entry("500-length", "Content-Length: 5\r\n\r\n"),
                    Map.entry("204-length", "Content-Length: 5\r\n\r\n"),
                    Map.entry("204-chunked", CHUNKED),
                    Map.entry("204-neither", "\r\n"),
                    Map.entry("304-length", "Content-Length: 5\r\n\r\n"),
                    Map.entry("304-chunked", CHUNKED),
                    Map.entry("304-neither", "\r\n"),
                    Map.entry("503-notrun", NOT_RUN),
                    Map.entry("429-neither", "\r\n"));

    private static final Script REPLICA =
            (request, wire) -> {
                String kind = request.target().split("/")[2];
                if (kind.equals("lost")) {
                    wire.socket().close();
                } else if (ANSWERS.containsKey(kind)) {
                    String status = kind.substring(0, 3);
                    String head = "HTTP/1.1 " + status + " X\r\n" + headersFor(request);
                    wire.write(head + ANSWERS.get(kind));
                } else if (!kind.equals("silent")) {
                    wire.answer(200, headersFor(request), "good".getBytes());
                }
            };

    private static Installation sFleet;

    @BeforeAll
    static void start() throws Exception {
        sFleet = Installation.start(REPLICA, REPLICA);
    }

    @AfterAll
    static void stop() throws Exception {
        sFleet.close();
    }

    @ParameterizedTest
    @CsvSource({
        "/safe/200-length, 200",
        "/safe/200-chunked, 200",
        "/safe/200-neither, 200",
        "/unsafe/200-chunked, 200",
        "/unsafe/500-length, 500",
        "/stream/200-length, 200",
        "/stream/200-chunked, 200",
        "/once/200-chunked, 200",
        "/unsafe/204-neither, 204",
        "/unsafe/304-length, 304",
        "/unsafe/304-chunked, 304",
        "/unsafe/429-neither, 502",
        "/unsafe/lost, 502",
        "/unsafe/silent, 504",
        "/safe/503-notrun, 503",
        "/nowhere/x, 404",
    })
    void shouldWriteNothingBehindTheHeadOfAnAnswerToHead(String path, int status) throws Exception {
        assertNextIsAnswered(request("HEAD", path, "id-head", ""), status);
    }

    @ParameterizedTest
    @ValueSource(strings = {"HEAD", "GET"})
    void shouldFrameTheRefusalOfAnUnknownKey(String method) throws Exception {
        String asked = request(method, "/safe/x", "id-key", "").replace("key-1", "withdrawn");
        try (var caller = RawCaller.connect(sFleet.router().callers())) {
            caller.send(asked);
            var answer = method.equals("HEAD") ? caller.receiveHead() : caller.receive();
            assertThat(answer.status(), is(401));
            caller.send(post("/unsafe/x", "a"));
            assertThat(caller.receive().body(), is("good"));
        }
    }

    @ParameterizedTest
    @CsvSource({
        "/unsafe/204-length, 204",
        "/unsafe/204-chunked, 204",
        "/unsafe/204-neither, 204",
        "/unsafe/304-length, 304",
        "/unsafe/304-chunked, 304",
        "/unsafe/304-neither, 304",
        "/stream/204-chunked, 204",
        "/once/304-neither, 304",
    })
    void shouldWriteNoBodyBehindAStatusThatHasNone(String path, int status) throws Exception {
        var answer = assertNextIsAnswered(request("GET", path, "id-status", ""), status);
        assertThat(answer.header("Transfer-Encoding"), nullValue());
        if (status == 204) {
            assertThat(answer.header("Content-Length"), nullValue());
        }
    }

    @ParameterizedTest
    @CsvSource({
        "/unsafe/lost, 502",
        "/unsafe/silent, 504",
        "/safe/503-notrun, 503",
        "/nowhere/x, 404",
    })
    void shouldFrameRefusalsOnAKeptConnection(String path, int status) throws Exception {
        try (var caller = RawCaller.connect(sFleet.router().callers())) {
            caller.send(request("GET", path, "id-refused", ""));
            assertThat(caller.receive().status(), is(status));
            caller.send(post("/unsafe/x", "a"));
            assertThat(caller.receive().body(), is("good"));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Connection: Upgrade\r\nUpgrade: websocket\r\n",
                "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AA\r\n"
            })
    void shouldAnswerARequestForAnUpgradeInItsOwnProtocol(String upgrade) throws Exception {
        String asked = request("GET", "/safe/x", "id-up", "").replace("\r\n\r\n", "\r\n" + upgrade);
        try (var caller = RawCaller.connect(sFleet.router().callers())) {
            caller.send(asked + "\r\n");
            assertThat(caller.receive().body(), is("good"));
            caller.send(post("/unsafe/x", "a"));
            assertThat(caller.receive().body(), is("good"));
        }
    }

    @ParameterizedTest
    @CsvSource({"/unsafe/x, 200", "/unsafe/204-length, 204", "/nowhere/x, 404"})
    void shouldFrameAnInterimAnswer(String path, int status) throws Exception {
        String asked =
                request("POST", path, "id-100", "b")
                        .replace("\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n");
        try (var caller = RawCaller.connect(sFleet.router().callers())) {
            caller.send(asked);
            assertThat(caller.receiveHead().status(), is(100));
            assertThat(caller.receive().status(), is(status));
            caller.send(post("/unsafe/x", "a"));
            assertThat(caller.receive().body(), is("good"));
        }
    }

    /** A caller takes a success for the beginning of a tunnel, so no replica is asked. */
    @ParameterizedTest
    @ValueSource(strings = {"/safe/200-length", "h.example:443"})
    void shouldRefuseATunnel(String target) throws Exception {
        try (var caller = RawCaller.connect(sFleet.router().callers())) {
            caller.send(request("CONNECT", target, "id-tunnel", ""));
            assertThat(caller.receive().status(), is(400));
            assertThat(caller.isAtEnd(), is(true));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Host: h.example\r\n", "Fescueport-Attempt-Id: id-head\r\n"})
    void shouldWriteNothingBehindTheRefusalOfABadHead(String removed) throws Exception {
        try (var caller = RawCaller.connect(sFleet.router().callers())) {
            caller.send(request("HEAD", "/safe/x", "id-head", "").replace(removed, ""));
            assertThat(caller.receiveHead().status(), is(400));
            assertThat(caller.isAtEnd(), is(true));
        }
    }

    /** Returns the answer, which must have no body, behind which a next one must come. */
    private static RawCaller.Answer assertNextIsAnswered(String asked, int status)
            throws Exception {
        try (var caller = RawCaller.connect(sFleet.router().callers())) {
            caller.send(asked);
            var answer = caller.receiveHead();
            assertThat(answer.status(), is(status));
            caller.send(post("/unsafe/x", "a"));
            var next = caller.receive();
            assertThat(next.status(), is(200));
            assertThat(next.body(), is("good"));
            return answer;
        }
    }
}
