package org.fescueport.internal.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.fescueport.platform.RawServer;
import org.fescueport.testing.BrokenResponse;
import org.fescueport.testing.SoundResponse;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against broken answers of servers that pass for answers (issue 55). */
class BrokenAnswerToCallerTest {
    private static final Duration LIMIT = Duration.ofSeconds(5);
    private static final String FIELDS = "X-Caller: a\r\n";

    @ParameterizedTest
    @EnumSource
    void shouldReturnSoundResponse(SoundResponse response) throws Exception {
        var answer = call(response.bytes(FIELDS), Integer.MAX_VALUE);
        assertThat(answer.status(), is(response.status()));
        assertThat(new String(answer.body(), StandardCharsets.ISO_8859_1), is(response.body()));
    }

    /** The last bytes come in a packet of their own, so that most heads and chunks are cut. */
    @ParameterizedTest
    @EnumSource
    void shouldReturnSoundResponseInTwoPackets(SoundResponse response) throws Exception {
        byte[] bytes = response.bytes(FIELDS);
        for (int end = 1; end < Math.min(bytes.length, 200); end += 17) {
            assertThat(call(bytes, end).status(), is(response.status()));
        }
    }

    /** Blanks around a second extension, and characters above 0x7f in a quoted string. */
    @ParameterizedTest
    @ValueSource(strings = {"5 \t; a = b ; c", "5;a=\"b;c \\\" \t\u00e9\""})
    void shouldReturnResponseWithAnyChunkExtension(String size) throws Exception {
        String text =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + (size + "\r\nwhole\r\n0\r\n\r\n");
        var answer = call(text.getBytes(StandardCharsets.ISO_8859_1), Integer.MAX_VALUE);
        assertThat(new String(answer.body(), StandardCharsets.ISO_8859_1), is("whole"));
    }

    @ParameterizedTest
    @EnumSource
    void shouldFailForBrokenResponse(BrokenResponse response) {
        var failure =
                assertThrows(
                        CompletionException.class,
                        () -> call(response.bytes(FIELDS), Integer.MAX_VALUE));
        assertThat(((HttpCallException) failure.getCause()).maybeSent(), is(true));
    }

    /** Returns what a caller makes of bytes that are cut in two; the output ends behind them. */
    private static HttpCaller.Response call(byte[] bytes, int cut) throws Exception {
        RawServer.Script script =
                (request, wire) -> {
                    wire.output().write(bytes, 0, Math.min(cut, bytes.length));
                    if (cut < bytes.length) {
                        wire.output().write(bytes, cut, bytes.length - cut);
                    }
                    wire.socket().shutdownOutput();
                };
        try (var server = RawServer.start(script);
                var caller = AsyncHttpCaller.create(HttpCallerSettings.defaults())) {
            String url = "http://127.0.0.1:" + server.address().getPort() + "/";
            var request = new HttpCaller.Request("POST", url, Map.of(), new byte[1], LIMIT);
            return caller.call(request).join();
        }
    }
}
