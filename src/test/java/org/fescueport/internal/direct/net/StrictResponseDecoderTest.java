package org.fescueport.internal.direct.net;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.stream.IntStream;
import org.fescueport.testing.BrokenResponse;
import org.fescueport.testing.SoundResponse;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against responses of which the decoder makes something that was not sent. */
class StrictResponseDecoderTest {
    private static final String FIELDS = "X-Probe: a\r\n";

    private static final StrictResponseDecoder.Requests ONE_REQUEST =
            new StrictResponseDecoder.Requests() {
                @Override
                public boolean isResponseExpected() {
                    return true;
                }

                @Override
                public HttpMethod method() {
                    return HttpMethod.GET;
                }

                @Override
                public void onStrayBytes() {
                    throw new IllegalStateException("a response is expected");
                }
            };

    /** What the decoder made of the bytes. */
    private static final class Result {
        private int mStatus;
        private final StringBuilder mBody = new StringBuilder();
        private boolean mWhole;
        private boolean mRefused;
    }

    @ParameterizedTest
    @EnumSource
    void shouldDecodeSoundResponse(SoundResponse response) {
        assertWhole(response, decode(response.bytes(FIELDS), Integer.MAX_VALUE));
    }

    @ParameterizedTest
    @EnumSource
    void shouldDecodeSoundResponseInPacketsOfAnySize(SoundResponse response) {
        byte[] bytes = response.bytes(FIELDS);
        int largest = Math.min(bytes.length, 64);
        for (int packetBytes = 1; packetBytes < largest; packetBytes++) {
            assertWhole(response, decode(bytes, packetBytes));
        }
    }

    @ParameterizedTest
    @EnumSource
    void shouldRefuseBrokenResponse(BrokenResponse response) {
        assertRefused(decode(response.bytes(FIELDS), Integer.MAX_VALUE));
    }

    @ParameterizedTest
    @EnumSource
    void shouldRefuseBrokenResponseInPacketsOfAnySize(BrokenResponse response) {
        byte[] bytes = response.bytes(FIELDS);
        for (int packetBytes = 1; packetBytes < bytes.length; packetBytes++) {
            assertRefused(decode(bytes, packetBytes));
        }
    }

    /** Behind 101, another protocol would follow, for which nobody asks. */
    private static IntStream statuses() {
        return IntStream.rangeClosed(100, 599).filter(status -> status != 101);
    }

    @ParameterizedTest
    @MethodSource("statuses")
    void shouldDecodeEachStatus(int status) {
        boolean isInterim = status < 200;
        boolean hasNoBody = status == 204 || status == 304;
        String text =
                "HTTP/1.1 %d \r\n".formatted(status)
                        + (isInterim ? "\r\nHTTP/1.1 200 OK\r\n" : "")
                        + "Content-Length: "
                        + (hasNoBody ? "0\r\n\r\n" : "5\r\n\r\nwhole");
        var result = decode(text.getBytes(StandardCharsets.ISO_8859_1), 7);
        assertThat(result.mWhole && !result.mRefused, is(true));
        assertThat(result.mStatus, is(isInterim ? 200 : status));
    }

    /** A hexadecimal size of a chunk, in both cases of its letters. */
    @ParameterizedTest
    @ValueSource(strings = {"2ab", "2AB", "02aB"})
    void shouldDecodeLargeChunk(String size) {
        String body = "b".repeat(0x2ab);
        String text =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + (size + "\r\n" + body + "\r\n0\r\n\r\n");
        var result = decode(text.getBytes(StandardCharsets.ISO_8859_1), 100);
        assertThat(result.mBody.toString(), is(body));
        assertThat(result.mWhole && !result.mRefused, is(true));
    }

    /** Blanks around a second extension, and characters above 0x7f in a quoted string. */
    @ParameterizedTest
    @ValueSource(strings = {"5 \t; a = b ; c", "5;a=\"b;c \\\" \t\u00e9\""})
    void shouldDecodeEveryChunkExtension(String size) {
        String text =
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + (size + "\r\nwhole\r\n0\r\n\r\n");
        var result = decode(text.getBytes(StandardCharsets.ISO_8859_1), Integer.MAX_VALUE);
        assertThat(result.mBody.toString(), is("whole"));
        assertThat(result.mWhole && !result.mRefused, is(true));
    }

    /** The bytes of an incomplete line were searched again for each packet, were this quadratic. */
    @Test
    void shouldDecodeLongLineThatArrivesInSingleBytes() {
        String line = "X-Long: " + "a".repeat(30_000) + "\r\n";
        assertWhole(SoundResponse.LENGTH, decode(SoundResponse.LENGTH.bytes(line), 1));
    }

    @Test
    void shouldDecodeHeadOfManyLines() {
        String lines = "X-Probe: 1\r\n".repeat(2_000);
        assertWhole(SoundResponse.LENGTH, decode(SoundResponse.LENGTH.bytes(lines), 1_000));
    }

    @Test
    void shouldRefuseHeadWithoutEnd() {
        byte[] bytes = new byte[100_000];
        Arrays.fill(bytes, (byte) 'a');
        byte[] start = "HTTP/1.1 200 ".getBytes(StandardCharsets.ISO_8859_1);
        System.arraycopy(start, 0, bytes, 0, start.length);
        assertRefused(decode(bytes, 1_000));
    }

    private static void assertWhole(SoundResponse response, Result result) {
        assertThat(result.mRefused, is(false));
        assertThat(result.mStatus, is(response.status()));
        assertThat(result.mBody.toString(), is(response.body()));
        assertThat(result.mWhole, is(true));
    }

    private static void assertRefused(Result result) {
        assertThat("a whole response of " + result.mStatus, result.mWhole, is(false));
        assertThat(result.mRefused, is(true));
    }

    /** Returns what becomes of bytes that arrive in packets of this size. */
    private static Result decode(byte[] bytes, int packetBytes) {
        var result = new Result();
        var channel = new EmbeddedChannel(new StrictResponseDecoder(ONE_REQUEST));
        for (int from = 0; from < bytes.length && !result.mRefused; from += packetBytes) {
            int length = Math.min(packetBytes, bytes.length - from);
            receive(channel, bytes, from, length, result);
        }
        channel.finishAndReleaseAll();
        return result;
    }

    private static void receive(
            EmbeddedChannel channel, byte[] bytes, int from, int length, Result result) {
        try {
            channel.writeInbound(Unpooled.copiedBuffer(bytes, from, length));
        } catch (DecoderException e) {
            result.mRefused = true;
        }
        for (Object next = channel.readInbound(); next != null; next = channel.readInbound()) {
            result.mRefused |= ((HttpObject) next).decoderResult().isFailure();
            if (!result.mRefused) {
                note(next, result);
            }
            ReferenceCountUtil.release(next);
        }
    }

    private static void note(Object message, Result result) {
        if (message instanceof HttpResponse response) {
            result.mStatus = response.status().code();
        }
        boolean isInterim = result.mStatus >= 100 && result.mStatus < 200;
        if (message instanceof HttpContent content && !isInterim) {
            result.mBody.append(content.content().toString(StandardCharsets.ISO_8859_1));
            result.mWhole |= message instanceof LastHttpContent;
        }
    }
}
