package org.fescueport.internal.fleet;

import io.micrometer.core.instrument.Clock;
import io.micrometer.core.instrument.Counter;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.telemetry.Telemetry;
import org.fescueport.internal.wire.FrameConnection;
import org.fescueport.internal.wire.FrameListener;
import org.fescueport.internal.wire.FrameTransport;
import org.fescueport.internal.wire.generated.Frame;
import org.fescueport.internal.wire.generated.Hello;

/** Connections to agents, opened when one is first needed and closed when idle. */
public final class AgentConnections implements FrameListener {
    private static final Duration IDLE_LIMIT = Duration.ofMinutes(2);

    /** Silence after which an agent that somebody waits for is probed, and then held for lost. */
    private static final Duration PATIENCE = Duration.ofMillis(600);

    private final FrameTransport mTransport;
    private final NodeId mSelf;
    private final long mIncarnation;
    private final LongSupplier mConfigVersion;
    private final Membership mMembership;
    private final PeerVersions mPeerVersions;
    private final Clock mClock;
    private final Counter mOpened;
    private final Counter mStaleFrames;
    private final Counter mOtherNodes;
    private final Map<String, CompletableFuture<AgentLink>> mLinks = new ConcurrentHashMap<>();
    private final Set<AgentLink> mLinked = ConcurrentHashMap.newKeySet();

    private AgentConnections(
            FrameTransport transport,
            NodeId self,
            long incarnation,
            LongSupplier configVersion,
            Membership membership,
            PeerVersions peerVersions,
            Clock clock,
            Telemetry telemetry) {
        mTransport = transport;
        mSelf = self;
        mIncarnation = incarnation;
        mConfigVersion = configVersion;
        mMembership = membership;
        mPeerVersions = peerVersions;
        mClock = clock;
        mOpened = telemetry.counter("router_agent_connections_opened");
        mStaleFrames = telemetry.counter("router_stale_frames");
        mOtherNodes = telemetry.counter("other_nodes_at_an_address");
    }

    /** Told of the version of declarations that a peer has in force. */
    @FunctionalInterface
    public interface PeerVersions {
        void onVersion(AgentLink link, long version);
    }

    public static AgentConnections create(
            FrameTransport transport,
            NodeId self,
            long incarnation,
            LongSupplier configVersion,
            Membership membership,
            PeerVersions peerVersions,
            Clock clock,
            Telemetry telemetry) {
        return new AgentConnections(
                transport,
                self,
                incarnation,
                configVersion,
                membership,
                peerVersions,
                clock,
                telemetry);
    }

    /** Returns the open connection to an agent that has said hello, or opens one. */
    public CompletableFuture<AgentLink> to(Replica replica) {
        var known = mLinks.get(replica.address());
        if (known != null && isUsable(known)) {
            return known;
        }
        var result =
                mLinks.compute(
                        replica.address(),
                        (address, current) ->
                                current != null && isUsable(current) ? current : open(replica));
        return result;
    }

    /** Closes connections that no request used for a while. */
    public void closeIdle() {
        long oldest = mClock.monotonicTime() - IDLE_LIMIT.toNanos();
        for (var link : mLinks.values()) {
            if (link.isDone() && !link.isCompletedExceptionally()) {
                var open = link.join();
                if (open.isIdleSince(oldest)) {
                    open.close();
                }
            }
        }
        mLinks.values().removeIf(link -> !isUsable(link));
    }

    /** Probes silent agents that somebody waits for, and closes connections to lost ones. */
    public void probe() {
        long now = mClock.monotonicTime();
        for (var link : mLinked) {
            link.probe(now, PATIENCE.toNanos());
        }
    }

    @Override
    public void onOpen(FrameConnection connection) {
        var hello =
                Hello.newBuilder()
                        .setNode(mSelf.name())
                        .setIncarnation(mIncarnation)
                        .setConfigVersion(mConfigVersion.getAsLong());
        connection.send(Frame.newBuilder().setHello(hello).build());
    }

    @Override
    public void onFrame(FrameConnection connection, Frame frame) {
        var link = (AgentLink) connection.attachment();
        if (link == null) {
            return;
        }
        switch (frame.getBodyCase()) {
            case HELLO -> {
                if (!isFrom(link.node(), frame.getHello())) {
                    mOtherNodes.increment();
                    link.close();
                    return;
                }
                onHello(link, frame.getHello());
            }
            case LEAVING -> mMembership.onLeaving(link.node(), frame.getLeaving().getIncarnation());
            default -> {
                // The link hands it to the attempt or call that it belongs to.
            }
        }
        link.onFrame(frame, mClock.monotonicTime());
    }

    @Override
    public void onClosed(FrameConnection connection) {
        var link = (AgentLink) connection.attachment();
        if (link != null) {
            mLinked.remove(link);
            mMembership.onClosed(link.node());
            link.onClosed();
        }
    }

    /** The list lags: another VM, maybe one of another model, may have the address by now. */
    private static boolean isFrom(NodeId node, Hello hello) {
        return hello.getNode().equals(node.name());
    }

    private void onHello(AgentLink link, Hello hello) {
        mMembership.onHello(link.node(), hello);
        mPeerVersions.onVersion(link, hello.getConfigVersion());
    }

    private CompletableFuture<AgentLink> open(Replica replica) {
        mOpened.increment();
        var listener = new LinkOpener(replica.node());
        return mTransport
                .connect(parse(replica.address()), listener)
                .thenCompose(
                        connection -> {
                            var link = (AgentLink) connection.attachment();
                            return link.hello().thenApply(hello -> link);
                        })
                .whenComplete(
                        (link, failure) -> {
                            if (failure != null) {
                                mMembership.onUnreachable(replica.node());
                            }
                        });
    }

    private static boolean isUsable(CompletableFuture<AgentLink> link) {
        if (!link.isDone()) {
            return true;
        }
        return !link.isCompletedExceptionally() && link.join().isOpen();
    }

    private static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    private final class LinkOpener implements FrameListener {
        private final NodeId mNode;

        private LinkOpener(NodeId node) {
            mNode = node;
        }

        @Override
        public void onOpen(FrameConnection connection) {
            var link = AgentLink.of(mNode, connection, mStaleFrames, mClock.monotonicTime());
            connection.attach(link);
            mLinked.add(link);
            AgentConnections.this.onOpen(connection);
        }

        @Override
        public void onFrame(FrameConnection connection, Frame frame) {
            AgentConnections.this.onFrame(connection, frame);
        }

        @Override
        public void onClosed(FrameConnection connection) {
            AgentConnections.this.onClosed(connection);
        }
    }
}
