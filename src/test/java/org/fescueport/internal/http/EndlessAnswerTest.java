package org.fescueport.internal.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicLong;
import org.fescueport.platform.RawServer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a server whose answer never ends, which filled the memory of the caller. */
class EndlessAnswerTest {
    private static final HttpCallerSettings SETTINGS =
            new HttpCallerSettings(2, 4, Duration.ofSeconds(2), Duration.ofMinutes(1), 1 << 20, 1);
    private static final Duration LIMIT = Duration.ofSeconds(20);

    /** What a caller may take, with what the buffers of both sockets hold. */
    private static final long MAX_TAKEN_BYTES = 16 * 1_024 * 1_024;

    private static final long SENT_BYTES = 8 * MAX_TAKEN_BYTES;

    @ParameterizedTest
    @CsvSource({
        "'HTTP/1.1 200 ', 'OK '",
        "'HTTP/1.1 200 OK\r\nA: ', 'aaaaaaaa'",
        "'HTTP/1.1 200 OK\r\n', 'A: b\r\n'",
        "'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;', 'a=b;'",
        "'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n', 'A: b\r\n'",
        "'HTTP/1.1 200 OK\r\n\r\n', 'bytes'"
    })
    void shouldEndTheCallBeforeAnEndlessAnswerFillsTheMemory(String start, String more)
            throws Exception {
        byte[] block = more.repeat(16_384).getBytes(java.nio.charset.StandardCharsets.US_ASCII);
        var taken = new AtomicLong();
        RawServer.Script endless =
                (request, wire) -> {
                    wire.write(start);
                    try {
                        while (taken.addAndGet(block.length) < SENT_BYTES) {
                            wire.write(block);
                        }
                    } catch (IOException e) {
                        wire.socket().close();
                    }
                    wire.awaitClose();
                };
        try (var server = RawServer.start(endless);
                var caller = AsyncHttpCaller.create(SETTINGS)) {
            String url = "http://127.0.0.1:" + server.address().getPort() + "/";
            var request = new HttpCaller.Request("POST", url, Map.of(), new byte[1], LIMIT);
            var failure =
                    assertThrows(CompletionException.class, () -> caller.call(request).join());
            assertThat(((HttpCallException) failure.getCause()).maybeSent(), is(true));
        }
        assertThat(taken.get(), lessThan(MAX_TAKEN_BYTES));
    }
}
