package org.fescueport.internal.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Input that is not a proper request, sent byte by byte over plain sockets. */
@Timeout(value = 20, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class BadInputTest {
    private static final String HEAD = "POST / HTTP/1.1\r\nHost: a\r\n";
    private static final int MAX_HELD_BYTES = 100_000;

    private final SimpleMeterRegistry mMeters = new SimpleMeterRegistry();
    private final CompletableFuture<HttpExchange> mHeld = new CompletableFuture<>();
    private HttpServer mServer;
    private Socket mOther;

    @BeforeEach
    void serveWhileAnotherCallersRequestRuns() throws Exception {
        HttpServerSettings settings =
                HttpServerSettings.of("127.0.0.1", 0)
                        .withMaxHeldBytes(MAX_HELD_BYTES)
                        .withConnections(100, Duration.ofMillis(400))
                        .withMeters(mMeters);
        mServer = HttpServer.start(settings, this::handle);
        mOther = connect();
        send(mOther, "GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
        mHeld.join();
    }

    @AfterEach
    void shouldAnswerTheOtherCaller() throws IOException {
        mHeld.join().respond(200, Map.of(), "untouched".getBytes(UTF_8));
        String answer = readUntil(mOther, "untouched");
        mOther.close();
        mServer.close();
        assertThat(answer, startsWith("HTTP/1.1 200"));
    }

    @ParameterizedTest
    @CsvSource({
        "'\u0001\u0002\r\n\r\n', 400, malformed_request",
        "'GET\r\n\r\n', 400, malformed_request",
        "'GET / HTTP/x\r\n\r\n', 400, malformed_request",
        "'GET / HTTP/9.9\r\nHost: a\r\n\r\n', 505, http_version_not_supported",
        "'GET / HTTP/1.1\r\n\r\n', 400, malformed_request",
        "'GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n', 400, malformed_request",
        "'GET / HTTP/1.1\r\nHost: a\r\nContent-Length: x\r\n\r\n', 400, malformed_request",
        "'GET / HTTP/1.1\r\nHost: a\r\nno colon\r\n\r\n', 400, malformed_request",
    })
    void shouldTellInJsonWhatIsWrongWithAHead(String head, int status, String type)
            throws IOException {
        assertRefused(head, status, type);
    }

    @ParameterizedTest
    @ValueSource(ints = {20_000, 200_000})
    void shouldCutOffAnEndlessLine(int length) throws IOException {
        assertRefused("GET /" + "x".repeat(length), 431, "headers_too_large");
    }

    @ParameterizedTest
    @ValueSource(ints = {10, 2_000})
    void shouldCutOffAnEndlessHead(int valueLength) throws IOException {
        String header = "A: " + "b".repeat(valueLength) + "\r\n";

        assertRefused("GET / HTTP/1.1\r\nHost: a\r\n" + header.repeat(200), 431, "headers_too");
    }

    @ParameterizedTest
    @ValueSource(strings = {"GET / HTTP/1.1\r\nHos", HEAD + "Content-Length: 9\r\n\r\nabc"})
    void shouldCutOffARequestThatStops(String part) throws IOException {
        assertRefused(part, 408, "request_timeout");
    }

    @ParameterizedTest
    @ValueSource(strings = {"GET / HTTP/1.1\r\nA: ", HEAD + "Content-Length: 900\r\n\r\n"})
    void shouldCutOffARequestThatDrips(String begin) throws Exception {
        try (Socket socket = connect()) {
            send(socket, begin);
            CompletableFuture<String> answer =
                    CompletableFuture.supplyAsync(() -> readQuietly(socket));
            while (!answer.isDone()) {
                CompletableFuture<Void> wait = new CompletableFuture<>();
                wait.completeOnTimeout(null, 20, java.util.concurrent.TimeUnit.MILLISECONDS).get();
                sendQuietly(socket, "x");
            }

            assertThat(answer.join(), startsWith("HTTP/1.1 408"));
        }
    }

    @Test
    void shouldTakeNoRoomForBodiesThatDoNotCome() throws IOException {
        Socket[] silent = new Socket[5];
        for (int i = 0; i < silent.length; i++) {
            silent[i] = connect();
            send(silent[i], HEAD + "Content-Length: 4000000\r\n\r\n");
        }

        try (Socket socket = connect()) {
            send(socket, HEAD + "Content-Length: 2\r\n\r\nab");
            assertThat(readUntil(socket, "whole"), startsWith("HTTP/1.1 200"));
        }
        for (Socket socket : silent) {
            socket.close();
        }
    }

    @RepeatedTest(20)
    void shouldRefuseBodiesAboveWhatIsHeldForAll() throws IOException {
        String body = "x".repeat(60_000);
        try (Socket first = connect()) {
            send(first, HEAD + "Content-Length: 60001\r\n\r\n" + body);
            awaitHeld(body.length());

            assertRefused(HEAD + "Content-Length: 60000\r\n\r\n" + body, 503, "overloaded");

            send(first, "x");
            assertThat(readUntil(first, "whole"), startsWith("HTTP/1.1 200"));
        }
        try (Socket next = connect()) {
            send(next, HEAD + "Content-Length: 60000\r\n\r\n" + body);
            assertThat(readUntil(next, "whole"), startsWith("HTTP/1.1 200"));
        }
    }

    /** Else the next body might come first and take the room. */
    private void awaitHeld(int bytes) {
        while (mMeters.get("fescue.http.bodies.held.bytes").gauge().value() < bytes) {
            Thread.onSpinWait();
        }
    }

    private void assertRefused(String text, int status, String type) throws IOException {
        try (Socket socket = connect()) {
            sendQuietly(socket, text);
            String answer = readQuietly(socket);
            assertThat(answer, startsWith("HTTP/1.1 " + status));
            assertThat(answer, containsString("{\"error\":{\"type\":\"" + type));
            assertThat(answer.endsWith("\"code\":" + status + "}}"), is(true));
        }
    }

    private void handle(HttpExchange exchange) {
        if (exchange.path().equals("/held")) {
            mHeld.complete(exchange);
        } else {
            exchange.respond(200, Map.of(), "whole".getBytes(UTF_8));
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", mServer.port());
        socket.setSoTimeout(10_000);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(US_ASCII));
    }

    /** The server may have closed by now. */
    private static void sendQuietly(Socket socket, String text) {
        try {
            send(socket, text);
        } catch (IOException e) {
            // The answer tells.
        }
    }

    private static String readQuietly(Socket socket) {
        try {
            return readUntil(socket, "}}");
        } catch (IOException e) {
            return e.toString();
        }
    }

    private static String readUntil(Socket socket, String end) throws IOException {
        StringBuilder read = new StringBuilder();
        while (!read.toString().endsWith(end)) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                break;
            }
            read.append((char) next);
        }
        return read.toString();
    }
}
