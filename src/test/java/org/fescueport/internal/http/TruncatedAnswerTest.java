package org.fescueport.internal.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.fescueport.platform.RawServer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against answers that end inside their head, or their framing, and pass for whole ones. */
class TruncatedAnswerTest {
    private static final Duration LIMIT = Duration.ofSeconds(5);
    private static final String LENGTH =
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nwhole";
    private static final String CHUNKS =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    private static final String TRAILER =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nA: b\r\n\r\n";
    private static final String INTERIM =
            "HTTP/1.1 103 Early\r\nLink: a\r\n\r\n"
                    + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

    @ParameterizedTest
    @ValueSource(strings = {LENGTH, CHUNKS, TRAILER, INTERIM})
    void shouldFailForAnAnswerThatEndsInsideItsHead(String answer) throws Exception {
        assertFails(answer, 0, answer.lastIndexOf("\r\n\r\n", answer.length() - 5) + 4);
    }

    @ParameterizedTest
    @ValueSource(strings = {LENGTH, INTERIM})
    void shouldFailForAnAnswerThatIsShorterThanItsLength(String answer) throws Exception {
        assertFails(answer, answer.indexOf("whole"), answer.length());
    }

    @ParameterizedTest
    @ValueSource(strings = {CHUNKS, TRAILER})
    void shouldFailForAnAnswerThatEndsInsideItsChunks(String answer) throws Exception {
        assertFails(answer, answer.indexOf("\r\n5\r\n") + 2, answer.length());
    }

    /** Expects a failure for each answer that ends behind at least and at most so many bytes. */
    private static void assertFails(String answer, int from, int to) throws Exception {
        for (int end = from; end < to; end++) {
            String sent = answer.substring(0, end);
            RawServer.Script script =
                    (request, wire) -> {
                        wire.write(sent);
                        wire.socket().shutdownOutput();
                    };
            try (var server = RawServer.start(script);
                    var caller = AsyncHttpCaller.create(HttpCallerSettings.defaults())) {
                String url = "http://127.0.0.1:" + server.address().getPort() + "/";
                var request = new HttpCaller.Request("POST", url, Map.of(), new byte[1], LIMIT);
                var failure =
                        assertThrows(
                                CompletionException.class,
                                () -> caller.call(request).join(),
                                "ended behind <" + sent + ">");
                assertThat(((HttpCallException) failure.getCause()).maybeSent(), is(true));
            }
        }
    }
}
