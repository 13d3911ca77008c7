package org.fescueport.internal.direct.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.time.Duration;

/** How connections that this node opens are set up, whoever is at their other end. */
public final class ClientSockets {
    private ClientSockets() {}

    /**
     * Returns what opens connections on an event loop; to be cloned for each handler.
     *
     * @param connectTime after which an unanswered attempt fails
     */
    public static Bootstrap on(EventLoopGroup loop, Duration connectTime) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTime.toMillis());
    }
}
