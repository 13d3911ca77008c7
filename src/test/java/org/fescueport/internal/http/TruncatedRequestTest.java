package org.fescueport.internal.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against running a request whose connection ends inside its head or its chunks. */
class TruncatedRequestTest {
    private static final String HEAD =
            "POST /orders HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\n\r\n";

    private static final String CHUNKED_HEAD =
            "POST /orders HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

    @Test
    void shouldNotHandleARequestThatEndsInsideItsHead() throws Exception {
        assertHandledOnlyIfWhole(HEAD, 0);
    }

    @ParameterizedTest
    @ValueSource(strings = {"5\r\nwhole\r\n0\r\n\r\n", "5\r\nwhole\r\n0;x=y\r\nA: b\r\n\r\n"})
    void shouldNotHandleARequestThatEndsInsideItsChunks(String chunks) throws Exception {
        assertHandledOnlyIfWhole(CHUNKED_HEAD + chunks, CHUNKED_HEAD.length());
    }

    /** Sends the request cut off behind at least so many bytes, and at last whole. */
    private static void assertHandledOnlyIfWhole(String request, int from) throws Exception {
        var handled = new AtomicInteger();
        HttpHandler handler =
                exchange -> {
                    handled.incrementAndGet();
                    exchange.respond(200, Map.of(), new byte[0]);
                };
        try (var server = HttpServer.start(HttpServerSettings.of("127.0.0.1", 0), handler)) {
            for (int end = from; end <= request.length(); end++) {
                try (var socket = new Socket("127.0.0.1", server.port())) {
                    socket.getOutputStream().write(request.substring(0, end).getBytes(US_ASCII));
                    socket.shutdownOutput();
                    awaitEnd(socket);
                }
                int whole = end == request.length() ? 1 : 0;
                assertThat("ended behind " + end + " bytes", handled.get(), is(whole));
            }
        }
    }

    private static void awaitEnd(Socket socket) throws IOException {
        try {
            socket.getInputStream().readAllBytes();
        } catch (SocketException e) {
            // A reset is an end too.
        }
    }
}
