package org.fescueport.internal.direct.forward;

import io.micrometer.core.instrument.Clock;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.placement.KeepAliveLimit;
import org.fescueport.internal.direct.net.ClientSockets;
import org.fescueport.internal.direct.net.StrictResponseDecoder;
import org.fescueport.internal.direct.state.ReplicaEntry;

/** The connections of this node to all replicas. They are opened on demand and closed when idle. */
public final class ReplicaConnectionPools {
    /**
     * About a hundred times the network delay between failure domains. The host of a replica that
     * is gone does not answer at all, so that only this timeout detects it.
     */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    private final WireProtocol mProtocol;
    private final Clock mClock;
    private final Bootstrap mBootstrap;
    private final Map<NodeId, ReplicaConnectionPool> mPools = new HashMap<>();
    private final RandomGenerator mRandom;
    private long mOpenedCount;
    private int mNodes = 1;

    private ReplicaConnectionPools(
            EventLoopGroup loop, WireProtocol protocol, Clock clock, RandomGenerator random) {
        mRandom = random;
        mProtocol = protocol;
        mClock = clock;
        mBootstrap = ClientSockets.on(loop, CONNECT_TIMEOUT);
    }

    /** Returns an empty set of pools, to be used on this event loop only. */
    public static ReplicaConnectionPools create(
            EventLoopGroup loop, WireProtocol protocol, Clock clock, RandomGenerator random) {
        return new ReplicaConnectionPools(loop, protocol, clock, random);
    }

    /** Sets the number of nodes that connect to the same replicas, including this one. */
    public void onNodes(int nodes) {
        mNodes = Math.max(1, nodes);
    }

    /**
     * Returns whether another idle connection to a replica may be kept.
     *
     * @param idle idle connections to the replica that are kept already
     * @param maxConnections connections that the replica accepts from all nodes together
     */
    boolean mayKeepIdle(int idle, int maxConnections) {
        return KeepAliveLimit.mayKeep(idle, maxConnections, mNodes, mRandom);
    }

    /**
     * Returns the connection pool of a replica. A replica whose incarnation, address or replica
     * pool has changed gets a new one, and the idle connections of the previous one are closed.
     */
    ReplicaConnectionPool connectionPool(ReplicaEntry replica) {
        ReplicaConnectionPool existing = mPools.get(replica.id());
        if (existing != null && isSameIncarnation(existing.replica(), replica)) {
            return existing;
        }
        if (existing != null) {
            existing.closeIdle();
        }
        ReplicaConnectionPool replacement = new ReplicaConnectionPool(this, replica);
        mPools.put(replica.id(), replacement);
        return replacement;
    }

    /**
     * Closes connections that have been idle for too long, and removes connection pools without
     * connections.
     */
    public void sweep() {
        mPools.values().forEach(ReplicaConnectionPool::sweep);
        mPools.values().removeIf(ReplicaConnectionPool::hasNoConnections);
    }

    /** Closes all idle connections. */
    public void closeIdle() {
        mPools.values().forEach(ReplicaConnectionPool::closeIdle);
    }

    /** Returns how many connections have been opened so far. */
    public long openedCount() {
        return mOpenedCount;
    }

    long nowNanos() {
        return mClock.monotonicTime();
    }

    /**
     * Opens a connection to a replica and sends the request on it, unless it is no longer wanted or
     * the replica accepts no more work by then; the connection then becomes idle. Takes ownership
     * of the message.
     */
    void connect(
            ReplicaConnectionPool connectionPool,
            FullHttpRequest message,
            String requestId,
            ResponseListener listener) {
        mOpenedCount++;
        var connection = new ReplicaConnection(connectionPool, mProtocol);
        connectionPool.onOpening(connection);
        ChannelFuture opened =
                mBootstrap
                        .clone()
                        .handler(initializer(connection))
                        .connect(connectionPool.replica().address());
        opened.addListener(
                done -> {
                    if (done.isSuccess()
                            && listener.isPending()
                            && listener.isReplicaAcceptingWork()) {
                        connection.send(message, requestId, listener);
                    } else if (done.isSuccess()) {
                        message.release();
                        connection.markIdle(Optional.empty());
                        connectionPool.onIdle(connection);
                        listener.onReplicaNotAcceptingWork();
                    } else {
                        message.release();
                        connectionPool.onClosing(connection);
                        listener.onUnreachable(
                                ConnectResult.of(done.cause()),
                                "no connection: " + done.cause().getMessage());
                    }
                });
    }

    /** Opens a connection to a replica, closes it, and reports whether it could be opened. */
    void probe(ReplicaEntry replica, Consumer<ConnectResult> ended) {
        mOpenedCount++;
        mBootstrap
                .clone()
                .handler(new ChannelInboundHandlerAdapter())
                .connect(replica.address())
                .addListener(
                        (ChannelFuture done) -> {
                            done.channel().close();
                            ended.accept(ConnectResult.of(done.cause()));
                        });
    }

    /** Runs a task on the event loop after a delay. */
    void schedule(Runnable task, Duration delay) {
        mBootstrap.config().group().schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private static ChannelInitializer<Channel> initializer(ReplicaConnection connection) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new StrictResponseDecoder(connection));
                channel.pipeline().addLast(new HttpRequestEncoder());
                channel.pipeline().addLast(connection);
            }
        };
    }

    private static boolean isSameIncarnation(ReplicaEntry one, ReplicaEntry other) {
        return one.address().equals(other.address())
                && one.startedAtMillis() == other.startedAtMillis()
                && one.pool().equals(other.pool());
    }
}
