package org.fescueport.internal.direct.forward;

import io.micrometer.core.instrument.Clock;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.direct.net.ClientSockets;
import org.fescueport.internal.direct.state.ReplicaEntry;

/** The connections of this node to all replicas; they are opened on use and closed when idle. */
public final class ReplicaLinks {
    /** Some hundred times the delay between failure domains; a replica that is gone is silent. */
    private static final Duration CONNECT_TIME = Duration.ofMillis(400);

    private static final int MAX_ANSWER_HEADER_BYTES = 32_768;
    private static final int MAX_CHUNK_BYTES = 16_384;

    private final WireProtocol mProtocol;
    private final Clock mClock;
    private final Bootstrap mBootstrap;
    private final Map<NodeId, ReplicaLink> mLinks = new HashMap<>();
    private long mConnectsCount;

    private ReplicaLinks(EventLoopGroup loop, WireProtocol protocol, Clock clock) {
        mProtocol = protocol;
        mClock = clock;
        mBootstrap = ClientSockets.on(loop, CONNECT_TIME);
    }

    /** Returns links without a connection, to be used on this event loop alone. */
    public static ReplicaLinks create(EventLoopGroup loop, WireProtocol protocol, Clock clock) {
        return new ReplicaLinks(loop, protocol, clock);
    }

    /** Returns the link to a replica; another life or address of it gets a new one. */
    ReplicaLink link(ReplicaEntry replica) {
        ReplicaLink link = mLinks.get(replica.id());
        if (link != null && isSameLife(link.replica(), replica)) {
            return link;
        }
        if (link != null) {
            link.closeIdle();
        }
        ReplicaLink renewed = new ReplicaLink(this, replica);
        mLinks.put(replica.id(), renewed);
        return renewed;
    }

    /** Closes connections that have been idle for too long; forgets unused links. */
    public void sweep() {
        mLinks.values().forEach(ReplicaLink::sweep);
        mLinks.values().removeIf(ReplicaLink::isUnused);
    }

    /** Closes all idle connections. */
    public void closeIdle() {
        mLinks.values().forEach(ReplicaLink::closeIdle);
    }

    /** Returns how many connections have been opened so far. */
    public long connects() {
        return mConnectsCount;
    }

    long nowNanos() {
        return mClock.monotonicTime();
    }

    void connect(
            ReplicaLink link, FullHttpRequest message, String requestId, AnswerListener listener) {
        mConnectsCount++;
        var connection = new ReplicaConnection(link, mProtocol);
        link.onOpening(connection);
        ChannelFuture opened =
                mBootstrap
                        .clone()
                        .handler(initializer(connection))
                        .connect(link.replica().address());
        opened.addListener(
                done -> {
                    if (done.isSuccess() && listener.isWanted() && listener.isReplicaOpen()) {
                        connection.send(message, requestId, listener);
                    } else if (done.isSuccess()) {
                        message.release();
                        connection.rest(Optional.empty());
                        link.onIdle(connection);
                        listener.onReplicaClosed();
                    } else {
                        message.release();
                        link.onClosing(connection);
                        listener.onNotSent("no connection: " + done.cause().getMessage());
                    }
                });
    }

    private static ChannelInitializer<Channel> initializer(ReplicaConnection connection) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                var limits =
                        new HttpDecoderConfig()
                                .setMaxHeaderSize(MAX_ANSWER_HEADER_BYTES)
                                .setMaxChunkSize(MAX_CHUNK_BYTES);
                channel.pipeline().addLast(new HttpClientCodec(limits, true, true));
                channel.pipeline().addLast(connection);
            }
        };
    }

    private static boolean isSameLife(ReplicaEntry one, ReplicaEntry other) {
        return one.address().equals(other.address())
                && one.startedAtMillis() == other.startedAtMillis()
                && one.pool().equals(other.pool());
    }
}
