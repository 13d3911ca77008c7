package org.fescueport.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.micrometer.core.instrument.Clock;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.direct.log.EventLog;
import org.fescueport.internal.direct.state.EraTracker;
import org.fescueport.internal.direct.state.StoreException;
import org.fescueport.testing.BrokenResponse;
import org.fescueport.testing.SoundResponse;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against broken answers of the store that pass for answers (issue 55). */
class BrokenStoreAnswerTest {
    private static final Duration LIMIT = Duration.ofSeconds(5);

    /** More than the buffers of both sockets hold, so that it cannot be written whole. */
    private static final int LONG_BODY_BYTES = 12_000_000;

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

    @ParameterizedTest
    @EnumSource
    void shouldFailForBrokenResponse(BrokenResponse response) {
        var failure =
                assertThrows(
                        ExecutionException.class, () -> call(response.bytes("Store-Era: 1\r\n")));
        assertThat(failure.getCause(), instanceOf(StoreException.class));
    }

    /**
     * Part of an answer must not pass for the whole one: it comes while a long call is still being
     * written, states no length, and ends with its connection.
     */
    @ParameterizedTest
    @CsvSource({"0, false", "5, false", "60000, false", "0, true", "5, true", "60000, true"})
    void shouldNotTakePartOfAnEarlyAnswerForTheWhole(int bytes, boolean endsOutput) {
        var script = new EarlyScript(bytes, endsOutput);
        var failure =
                assertThrows(
                        ExecutionException.class,
                        () -> call(script, Unpooled.wrappedBuffer(new byte[LONG_BODY_BYTES])));
        assertThat(
                ((StoreException) failure.getCause()).reason(),
                is(StoreException.Cause.UNANSWERED));
    }

    /**
     * Answers as soon as the head of a call has come, whose body it never reads.
     *
     * @param endsOutput whether the end of the answer is read before the writing fails
     */
    private record EarlyScript(int bytes, boolean endsOutput) implements RawServer.Script {
        @Override
        public void answer(RawServer.Request request, RawServer.Wire wire) throws Exception {
            wire.write("HTTP/1.1 200 OK\r\n\r\n" + "p".repeat(bytes));
            Await.pause(30);
            if (endsOutput) {
                wire.socket().shutdownOutput();
                Await.pause(30);
            }
            wire.reset();
        }

        @Override
        public boolean awaitsBody() {
            return false;
        }
    }

    /** Returns what is made of these bytes; the store's output ends behind them. */
    private static StoreCalls.Reply call(byte[] bytes) throws Exception {
        RawServer.Script script =
                (request, wire) -> {
                    wire.write(bytes);
                    wire.socket().shutdownOutput();
                };
        return call(script, Unpooled.EMPTY_BUFFER);
    }

    private static StoreCalls.Reply call(RawServer.Script script, ByteBuf body) throws Exception {
        try (var store = RawServer.start(script)) {
            var calls =
                    new StoreCalls(sLoop, store.address(), EraTracker.create(Clock.SYSTEM, sLog));
            return CompletableFuture.supplyAsync(
                            () -> calls.call(HttpMethod.POST, "/x", body, LIMIT), sLoop)
                    .thenCompose(reply -> reply)
                    .get();
        }
    }
}
