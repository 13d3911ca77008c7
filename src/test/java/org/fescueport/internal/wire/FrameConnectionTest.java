package org.fescueport.internal.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import io.netty.channel.local.LocalChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.wire.generated.Call;
import org.fescueport.internal.wire.generated.Frame;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class FrameConnectionTest {
    private static final int FRAMES = 100;
    private static final int QUIET_MS = 10;
    private static final int STOP_LIMIT_MS = 1_000;

    private final EventLoop mLoop = new DefaultEventLoop();
    private final List<Long> mWritten = new ArrayList<>();
    private int mFlushes;

    @AfterEach
    void stop() {
        mLoop.shutdownGracefully(QUIET_MS, STOP_LIMIT_MS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly();
    }

    @Test
    void shouldFlushOnceWhatWasSentWhileTheIoThreadWasBusy() throws Exception {
        var channel = new LocalChannel();
        channel.pipeline().addLast(new Recorder());
        mLoop.register(channel).sync();
        var connection = FrameConnection.over(channel);
        var isBusy = new CountDownLatch(1);
        mLoop.execute(() -> awaitQuietly(isBusy));

        for (long i = 0; i < FRAMES; i++) {
            connection.send(Frame.newBuilder().setCall(Call.newBuilder().setId(i)).build());
        }
        isBusy.countDown();
        mLoop.submit(() -> {}).sync();

        assertThat(mWritten.size(), is(FRAMES));
        assertThat(mWritten, is(mWritten.stream().sorted().toList()));
        assertThat(mFlushes, lessThan(3));
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private final class Recorder extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            mWritten.add(((Frame) message).getCall().getId());
        }

        @Override
        public void flush(ChannelHandlerContext context) {
            mFlushes++;
        }
    }
}
