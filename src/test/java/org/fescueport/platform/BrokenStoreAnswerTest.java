package org.fescueport.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.Clock;
import io.netty.buffer.Unpooled;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.direct.log.EventLog;
import org.fescueport.internal.direct.state.EraTracker;
import org.fescueport.testing.SoundResponse;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against broken answers of the store that pass for answers (issue 55). */
class BrokenStoreAnswerTest {
    private static final Duration LIMIT = Duration.ofSeconds(5);

    private static MultiThreadIoEventLoopGroup sLoop;
    private static EventLog sLog;

    @BeforeAll
    static void start() {
        sLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        sLog = EventLog.start(OutputStream.nullOutputStream(), Clock.SYSTEM, "test", 10);
    }

    @AfterAll
    static void stop() {
        sLog.close();
        sLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @ParameterizedTest
    @EnumSource
    void shouldReturnSoundResponse(SoundResponse response) throws Exception {
        var reply = call(response.bytes("Store-Era: 1\r\n"));
        assertThat(reply.status(), is(response.status()));
        assertThat(new String(reply.body(), StandardCharsets.ISO_8859_1), is(response.body()));
    }

    /** Returns what is made of these bytes; the store's output ends behind them. */
    private static StoreCalls.Reply call(byte[] bytes) throws Exception {
        RawServer.Script script =
                (request, wire) -> {
                    wire.write(bytes);
                    wire.socket().shutdownOutput();
                };
        try (var store = RawServer.start(script)) {
            var calls =
                    new StoreCalls(sLoop, store.address(), EraTracker.create(Clock.SYSTEM, sLog));
            return CompletableFuture.supplyAsync(
                            () -> calls.call(HttpMethod.GET, "/x", Unpooled.EMPTY_BUFFER, LIMIT),
                            sLoop)
                    .thenCompose(reply -> reply)
                    .get();
        }
    }
}
