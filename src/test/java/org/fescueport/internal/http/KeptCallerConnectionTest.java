package org.fescueport.internal.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueport.platform.Await;
import org.fescueport.platform.RawServer;
import org.fescueport.platform.RawServer.Script;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Bytes behind an answer, on a connection that the caller would keep. */
class KeptCallerConnectionTest {
    private static final String REFUSAL = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
    private static final Duration LIMIT = Duration.ofSeconds(5);

    @ParameterizedTest
    @CsvSource({
        "whole, 0, 0",
        "whole, 0, 50",
        "whole, 20, 100",
        "begun, 0, 0",
        "begun, 0, 50",
        "begun, 20, 100",
        "head, 0, 0",
        "head, 0, 50",
        "head, 20, 100"
    })
    void shouldNotTakeBytesBehindAnAnswerForThatToTheNextCall(
            String kind, int gapMillis, int pauseMillis) throws Exception {
        Set<Object> used = ConcurrentHashMap.newKeySet();
        var reuses = new AtomicInteger();
        Script script =
                (request, wire) -> {
                    String answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                    if (!used.add(wire.socket())) {
                        reuses.incrementAndGet();
                        wire.write(answer);
                    } else if (gapMillis == 0) {
                        wire.write(answer + stray(kind));
                    } else {
                        wire.write(answer);
                        Await.pause(gapMillis);
                        wire.write(stray(kind));
                    }
                };
        try (var server = RawServer.start(script);
                var caller = AsyncHttpCaller.create(HttpCallerSettings.defaults())) {
            String url = "http://127.0.0.1:" + server.address().getPort() + "/";
            for (int i = 0; i < 4; i++) {
                var request = new HttpCaller.Request("POST", url, Map.of(), new byte[1], LIMIT);
                assertThat("call " + i, statusOf(caller, request), is(200));
                Await.pause(pauseMillis);
            }
            assertThat(reuses.get(), is(0));
        }
    }

    @Test
    void shouldNotTakeExtraAnswerForThatToTheCallInProgress() throws Exception {
        Set<Object> used = ConcurrentHashMap.newKeySet();
        Script script =
                (request, wire) -> {
                    if (!used.add(wire.socket())) {
                        wire.write(REFUSAL);
                        Await.pause(20);
                    }
                    wire.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                };
        try (var server = RawServer.start(script);
                var caller = AsyncHttpCaller.create(HttpCallerSettings.defaults())) {
            String url = "http://127.0.0.1:" + server.address().getPort() + "/";
            var request = new HttpCaller.Request("POST", url, Map.of(), new byte[1], LIMIT);
            assertThat(caller.call(request).join().status(), is(200));
            assertThat(caller.call(request).join().status(), is(200));
        }
    }

    /** Calls again while the call was not sent, as when its connection was being closed. */
    private static int statusOf(HttpCaller caller, HttpCaller.Request request) {
        while (true) {
            try {
                return caller.call(request).join().status();
            } catch (CompletionException e) {
                if (((HttpCallException) e.getCause()).maybeSent()) {
                    throw e;
                }
            }
        }
    }

    private static String stray(String kind) {
        return switch (kind) {
            case "whole" -> REFUSAL;
            case "begun" -> "HTTP/1.1 503 Ser";
            default -> "HTTP/1.1 503 X\r\n";
        };
    }
}
