package org.fescueport.internal.direct.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.MockClock;
import io.netty.buffer.ByteBuf;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.direct.state.ReplicaEntry;
import org.fescueport.internal.direct.state.WarmUpTime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ReplicaConnectionPoolTest {
    private static final String NOT_SENT = "not sent";
    private static final String UNREACHABLE = "unreachable";

    private final MultiThreadIoEventLoopGroup mLoop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final CompletableFuture<String> mOutcome = new CompletableFuture<>();

    @AfterEach
    void stopLoop() {
        mLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private String sendTo(InetSocketAddress address, int maxConnections) throws Exception {
        var replica =
                new ReplicaEntry(
                        NodeId.of("r"),
                        PoolId.of("llm"),
                        address,
                        FailureDomain.of("north"),
                        8,
                        false,
                        1,
                        0,
                        WarmUpTime.warm());
        var pools =
                ReplicaConnectionPools.create(
                        mLoop, null, new MockClock(), new SplittableRandom(1));
        mLoop.execute(
                () -> {
                    var message =
                            new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/");
                    pools.connectionPool(replica)
                            .send(
                                    message,
                                    "id",
                                    ReplicaConnectionPool.Reuse.ANY,
                                    maxConnections,
                                    new Outcome());
                });
        return mOutcome.get(10, TimeUnit.SECONDS);
    }

    private static InetSocketAddress closedAddress() throws IOException {
        try (var server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) server.getLocalSocketAddress();
        }
    }

    @Test
    void shouldNotTakeAReplicaForUnreachableWhenAllConnectionsAreInUse() throws Exception {
        assertThat(sendTo(closedAddress(), 0), is(NOT_SENT));
    }

    @Test
    void shouldTakeAReplicaThatRefusesAConnectionForUnreachable() throws Exception {
        assertThat(sendTo(closedAddress(), 1), is(UNREACHABLE));
    }

    private final class Outcome implements ResponseListener {
        @Override
        public boolean isPending() {
            return true;
        }

        @Override
        public boolean isReplicaAcceptingWork() {
            return true;
        }

        @Override
        public void onReplicaNotAcceptingWork() {}

        @Override
        public void onSending(ReplicaConnection connection) {}

        @Override
        public void onNotSent(String reason) {
            mOutcome.complete(NOT_SENT);
        }

        @Override
        public void onUnreachable(ConnectResult result, String reason) {
            mOutcome.complete(UNREACHABLE);
        }

        @Override
        public void onHead(ResponseHead head) {}

        @Override
        public void onContent(ByteBuf content) {
            content.release();
        }

        @Override
        public void onReadComplete() {}

        @Override
        public void onResponseComplete(boolean endedByClose) {}

        @Override
        public void onLost(String reason) {}
    }
}
