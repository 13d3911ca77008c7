package org.fescueport.platform;

import static org.fescueport.platform.Installation.post;
import static org.fescueport.platform.Installation.request;
import static org.fescueport.platform.ReplicaStandIn.headersFor;
import static org.fescueport.platform.Scripts.STREAM;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.net.Socket;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.fescueport.platform.RawServer.Request;
import org.fescueport.platform.RawServer.Script;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Bytes of a replica that belong to no response, and responses whose end is ambiguous. */
class StrayBytesTest {
    private static final String REFUSAL =
            "HTTP/1.1 503 X\r\nFescueport-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

    /** How the end of a response is known. */
    private enum Framing {
        LENGTH("POST", 200, "Content-Length: 5\r\n\r\nwhole"),
        EMPTY("POST", 200, "Content-Length: 0\r\n\r\n"),
        TRAILERS(
                "POST",
                200,
                "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Sum: 1\r\n\r\n"),
        NO_CONTENT("POST", 204, "\r\n"),
        NOT_MODIFIED("GET", 304, "\r\n"),
        HEAD("HEAD", 200, "Content-Length: 5\r\n\r\n"),
        AFTER_INTERIM("POST", 200, "Content-Length: 5\r\n\r\nwhole");

        private final String mMethod;
        private final int mStatus;
        private final String mRest;

        Framing(String method, int status, String rest) {
            mMethod = method;
            mStatus = status;
            mRest = rest;
        }

        String text(Request request) {
            String interim = this == AFTER_INTERIM ? "HTTP/1.1 103 X\r\nLink: x\r\n\r\n" : "";
            return interim + "HTTP/1.1 " + mStatus + " X\r\n" + headersFor(request) + mRest;
        }
    }

    private static Stream<Arguments> strayBytes() {
        return Arrays.stream(Framing.values())
                .flatMap(
                        framing ->
                                Stream.of(
                                                "x",
                                                "HTTP/1.1 503 Ser",
                                                "HTTP/1.1 503 X\r\n",
                                                "HTTP/1.1 100 Continue\r\n\r\n",
                                                REFUSAL)
                                        .map(stray -> Arguments.of(framing, stray)));
    }

    @ParameterizedTest
    @MethodSource("strayBytes")
    void shouldNotReuseConnectionThatCarriedBytesBehindAResponse(Framing framing, String stray)
            throws Exception {
        assertNotReused(framing, (request, wire) -> wire.write(framing.text(request) + stray));
    }

    @ParameterizedTest
    @ValueSource(strings = {"x", "HTTP/1.1 503 Ser", "HTTP/1.1 503 X\r\n", REFUSAL})
    void shouldNotReuseConnectionThatCarriedBytesWhileIdle(String stray) throws Exception {
        assertNotReused(
                Framing.LENGTH,
                (request, wire) -> {
                    wire.write(Framing.LENGTH.text(request));
                    Await.pause(30);
                    wire.write(stray);
                });
    }

    @ParameterizedTest
    @ValueSource(strings = {"x", ""})
    void shouldNoticeBytesAndEndOfConnectionThatWasPausedForASlowCaller(String stray)
            throws Exception {
        assertNotReused(
                Framing.LENGTH,
                (request, wire) -> {
                    wire.answer(200, headersFor(request), new byte[99_000]);
                    Await.pause(30);
                    wire.write(stray);
                    if (stray.isEmpty()) {
                        wire.socket().shutdownOutput();
                    }
                });
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 5\r\nContent-Length: 4\r\n\r\nwhole",
                "Content-Length: 5, 4\r\n\r\nwhole",
                "Content-Length: -5\r\n\r\nwhole",
                "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
                "Content-Length: 5\r\nTransfer-Encoding: gzip\r\n\r\nwhole",
                "Transfer-Encoding: gzip\r\n\r\nwhole",
                "Transfer-Encoding: chunked, gzip\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n"
                        + "5\r\nwhole\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\nnot a size\r\nwhole\r\n0\r\n\r\n"
            })
    void shouldNotAcceptResponseWhoseEndIsAmbiguous(String rest) throws Exception {
        assertUnknownOutcome(request -> "HTTP/1.1 200 OK\r\n" + headersFor(request) + rest, false);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 9\r\n\r\nwho",
                "Transfer-Encoding: chunked\r\n\r\n5\r\nwho",
                "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
                "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Sum: 1\r\n",
                "Content-Len"
            })
    void shouldNotAcceptResponseThatIsCut(String rest) throws Exception {
        assertUnknownOutcome(request -> "HTTP/1.1 200 OK\r\n" + headersFor(request) + rest, true);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n",
                "HTTP/1.1 101 X\r\n\r\n",
                "HTTP/1.1 103 X\r\nContent-Length: 2\r\n\r\nno"
            })
    void shouldNotAcceptBytesBehindAnInterimResponse(String interim) throws Exception {
        assertUnknownOutcome(request -> interim + Framing.LENGTH.text(request), false);
    }

    @ParameterizedTest
    @ValueSource(strings = {"GET", "HEAD"})
    void shouldSkipEmptyResponseToAnotherRequestBeforeThatToAHeadRequest(String method)
            throws Exception {
        Script script =
                (request, wire) ->
                        wire.write(
                                "HTTP/1.1 503 X\r\nFescueport-Attempt-Id: other\r\n"
                                        + "Content-Length: 0\r\n\r\n"
                                        + "HTTP/1.1 200 OK\r\n"
                                        + headersFor(request)
                                        + "Content-Length: 5\r\n\r\n"
                                        + (method.equals("GET") ? "whole" : ""));
        try (var fleet = Installation.start(script, STREAM)) {
            assertThat(statusLine(fleet, method, "id-1"), startsWith("HTTP/1.1 200 "));
            assertThat(fleet.arrivals("api"), is(1));
        }
    }

    /** What the replica writes for a request. */
    private interface Answer {
        String text(Request request);
    }

    private static void assertNotReused(Framing framing, Script script) throws Exception {
        Set<Socket> used = ConcurrentHashMap.newKeySet();
        var reuses = new AtomicInteger();
        Script recording =
                (request, wire) -> {
                    if (!used.add(wire.socket())) {
                        reuses.incrementAndGet();
                    }
                    script.answer(request, wire);
                };
        try (var fleet = Installation.start(recording, STREAM)) {
            for (int i = 0; i < 4; i++) {
                String line = statusLine(fleet, framing.mMethod, "id-" + i);
                assertThat(line, startsWith("HTTP/1.1 " + framing.mStatus + " "));
                Await.pause(60);
            }
            assertThat(reuses.get(), is(0));
            assertThat(fleet.arrivals("api"), is(4));
        }
    }

    private static void assertUnknownOutcome(Answer answer, boolean closes) throws Exception {
        var closed = new AtomicInteger();
        Script script =
                (request, wire) -> {
                    wire.write(answer.text(request));
                    if (closes) {
                        wire.socket().shutdownOutput();
                    }
                    wire.awaitClose();
                    closed.incrementAndGet();
                };
        try (var fleet = Installation.start(script, STREAM)) {
            assertThat(fleet.ask(post("/unsafe/x", "siren")).status(), is(502));
            assertThat(fleet.arrivals("api"), is(1));
            Await.until("the connection is closed", () -> closed.get() == 1);
        }
    }

    private static String statusLine(Installation fleet, String method, String id)
            throws Exception {
        String path = method.equals("POST") ? "/unsafe/x" : "/safe/x";
        try (var caller = RawCaller.connect(fleet.router().callers())) {
            caller.send(request(method, path, id, method.equals("POST") ? "siren" : ""));
            return caller.receiveThrough("\r\n\r\n");
        }
    }
}
