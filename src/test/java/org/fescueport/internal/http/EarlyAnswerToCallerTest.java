package org.fescueport.internal.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.locks.LockSupport;
import org.fescueport.platform.RawServer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against part of an answer that passes for a whole one: it comes while a long request is
 * still being written, states no length, and ends with its connection (issue 55).
 */
class EarlyAnswerToCallerTest {
    private static final Duration LIMIT = Duration.ofSeconds(5);

    /** More than the buffers of both sockets hold, so that it cannot be written whole. */
    private static final int BODY_BYTES = 12_000_000;

    private static final long PAUSE_NANOS = 60_000_000;

    /**
     * Answers as soon as the head of a request has come, whose body it never reads.
     *
     * @param endsOutput whether the caller reads the end of the answer before its writing fails
     */
    private record EarlyScript(int bytes, boolean pauses, boolean endsOutput)
            implements RawServer.Script {
        @Override
        public void answer(RawServer.Request request, RawServer.Wire wire) throws Exception {
            wire.write("HTTP/1.1 200 OK\r\n\r\n" + "p".repeat(bytes));
            if (pauses) {
                LockSupport.parkNanos(PAUSE_NANOS);
            }
            if (endsOutput) {
                wire.socket().shutdownOutput();
                LockSupport.parkNanos(PAUSE_NANOS);
            }
            wire.reset();
        }

        @Override
        public boolean awaitsBody() {
            return false;
        }
    }

    @ParameterizedTest
    @CsvSource({
        "0, false, false", "5, true, false", "60000, false, false", "90000, true, false",
        "0, false, true", "5, true, true", "60000, false, true", "90000, true, true"
    })
    void shouldNotTakePartOfAnEarlyAnswerForTheWhole(int bytes, boolean pauses, boolean endsOutput)
            throws Exception {
        try (var server = RawServer.start(new EarlyScript(bytes, pauses, endsOutput));
                var caller = AsyncHttpCaller.create(HttpCallerSettings.defaults())) {
            String url = "http://127.0.0.1:" + server.address().getPort() + "/";
            var request =
                    new HttpCaller.Request("POST", url, Map.of(), new byte[BODY_BYTES], LIMIT);
            var failure =
                    assertThrows(CompletionException.class, () -> caller.call(request).join());
            assertThat(((HttpCallException) failure.getCause()).maybeSent(), is(true));
        }
    }
}
