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

/** Guards against running a request whose connection ends inside its head. */
class TruncatedRequestTest {
    private static final String HEAD =
            "POST /orders HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\n\r\n";

    @Test
    void shouldNotHandleARequestThatEndsInsideItsHead() throws Exception {
        var handled = new AtomicInteger();
        HttpHandler handler =
                exchange -> {
                    handled.incrementAndGet();
                    exchange.respond(200, Map.of(), new byte[0]);
                };
        try (var server = HttpServer.start(HttpServerSettings.of("127.0.0.1", 0), handler)) {
            for (int end = 0; end < HEAD.length(); end++) {
                try (var socket = new Socket("127.0.0.1", server.port())) {
                    socket.getOutputStream().write(HEAD.substring(0, end).getBytes(US_ASCII));
                    socket.shutdownOutput();
                    awaitEnd(socket);
                }
                assertThat("ended behind " + end + " bytes", handled.get(), is(0));
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
