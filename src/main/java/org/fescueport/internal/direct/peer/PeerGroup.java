package org.fescueport.internal.direct.peer;

import io.micrometer.core.instrument.Clock;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.zip.DataFormatException;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.share.FleetDemand;
import org.fescueport.internal.direct.log.EventLog;
import org.fescueport.internal.direct.net.ClientSockets;
import org.fescueport.internal.direct.state.EraTracker;
import org.fescueport.internal.direct.state.FleetView;
import org.fescueport.internal.direct.state.NodeEntry;
import org.fescueport.internal.direct.state.RecordBatch;
import org.fescueport.internal.direct.state.StateRecord;
import org.fescueport.internal.direct.state.StateTopic;
import org.fescueport.internal.direct.state.StorePosition;
import org.fescueport.internal.wire.generated.PeerBeliefs;
import org.fescueport.internal.wire.generated.PeerHello;
import org.fescueport.internal.wire.generated.PeerMessage;
import org.fescueport.internal.wire.generated.PeerPulse;
import org.fescueport.internal.wire.generated.PeerRecords;

/**
 * The nodes of the fleet as this one sees them: one of them reads the store for the others.
 *
 * <p>Nodes are ranked by the order of their records in the store, so each knows all that started
 * before it. Each relies on one of those for records ({@link Upstream}) while that one sends pulses
 * that tell that the store is being read, and relays records and pulses to the nodes that rely on
 * it. A node without such a peer reads the store itself. Two that read at once cost calls and
 * nothing else. Used by the event loop alone.
 */
public final class PeerGroup {
    private static final int HIGH_WATER_BYTES = 4 * 1_024 * 1_024;

    /** Receives what other nodes send. */
    public interface Listener extends PeerReports.Listener {
        /** Called with records that can be applied to the view. */
        void onBatch(RecordBatch batch, PeerOrigin origin);

        /** Called with the number of nodes of the fleet, which may have changed. */
        void onNodes(int nodes);

        /** Returns whether this node holds requests back for lack of capacity in a pool. */
        boolean isShort(PoolId pool);

        /** None of the known nodes can be relied on; the list of nodes may be outdated. */
        void onMembersOutdated();
    }

    /** The connection that a batch came from, to which it is not sent back. */
    public static final class PeerOrigin {
        private final PeerConnection mConnection;

        private PeerOrigin(PeerConnection connection) {
            mConnection = connection;
        }
    }

    private final String mNode;
    private final FailureDomain mDomain;
    private final FleetView mView;
    private final EraTracker mEras;
    private final Clock mClock;
    private final EventLog mLog;
    private final Bootstrap mBootstrap;
    private final Upstream mUpstream;
    private final PeerReports mReports;
    private final Beliefs mBeliefs;
    private final FleetDemand<PeerConnection> mDemand = FleetDemand.create();
    private final DemandRelay mDemandRelay;
    private final Set<PeerConnection> mOpen = new LinkedHashSet<>();
    private Listener mListener;
    private int mFleetNodes;
    private boolean mStopped;

    private PeerGroup(
            String node,
            FailureDomain domain,
            FleetView view,
            EraTracker eras,
            EventLoopGroup loop,
            Clock clock,
            EventLog log) {
        mNode = node;
        mDomain = domain;
        mView = view;
        mEras = eras;
        mClock = clock;
        mLog = log;
        mBootstrap = ClientSockets.on(loop, Upstream.CONNECT_TIMEOUT);
        mUpstream = new Upstream(new UpstreamGroup(), clock, log);
        mReports = new PeerReports(mOpen, clock);
        mBeliefs = new Beliefs(view, eras);
        mDemandRelay =
                new DemandRelay(
                        mOpen,
                        mUpstream::isConnectedTo,
                        mDemand,
                        pool -> mListener.isShort(pool),
                        clock,
                        log);
    }

    /** Returns a group without any other nodes. */
    public static PeerGroup create(
            String node,
            FailureDomain domain,
            FleetView view,
            EraTracker eras,
            EventLoopGroup loop,
            Clock clock,
            EventLog log) {
        return new PeerGroup(node, domain, view, eras, loop, clock, log);
    }

    /** Sets the listener; it replaces the previous one. */
    public void listen(Listener listener) {
        mListener = listener;
        mReports.listen(listener);
    }

    /** Returns the initializer for connections that other nodes open. */
    public ChannelInitializer<Channel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                prepare(channel, new PeerConnection(PeerGroup.this, false));
            }
        };
    }

    /** Sets the nodes that this one may rely on while the store does not answer. */
    public void onSeeds(List<InetSocketAddress> seeds) {
        mUpstream.onSeeds(seeds);
    }

    /**
     * Sets the rank of this node and the list of nodes.
     *
     * @param rank of this node
     * @param entries all nodes, including lost ones
     */
    public void onMembers(StorePosition rank, List<NodeEntry> entries) {
        List<NodeEntry> earlier =
                entries.stream()
                        .filter(e -> e.rank().isBefore(rank) && !e.node().equals(mNode))
                        .toList();
        mUpstream.onMembers(rank, mDomain, earlier);
        mLog.change("ranked").with("rank", rank).with("before", mUpstream.candidates()).write();
        mOpen.forEach(this::sendHello);
    }

    /** Returns whether a peer reads the store for this node. */
    public boolean isServed() {
        return mUpstream.isServing();
    }

    /**
     * Returns whether this node knows the configuration that the nodes before it have in force, or
     * is the first one. The store may have been restored from a backup with an older one.
     */
    public boolean isCaughtUp() {
        if (mUpstream.ownRank().isEmpty()) {
            return false;
        }
        if (mUpstream.candidates() == 0) {
            return true;
        }
        return mOpen.stream()
                .flatMap(peer -> peer.hello().stream())
                .anyMatch(hello -> !mBeliefs.hasNewerVersion(hello.getBeliefs()));
    }

    /**
     * Maintains the connection to the node that this one relies on.
     *
     * @param storeAnswers whether this node can do without its peers
     */
    public void tick(boolean storeAnswers) {
        if (!mStopped) {
            mUpstream.tick(storeAnswers);
            mDemandRelay.tick(isServed());
        }
    }

    /** Reports to the nodes that rely on this one whether its reads of the store succeed. */
    public void pulse(boolean reading) {
        int nodes = countNodes();
        sendPulse(reading, nodes, 0);
        mListener.onNodes(nodes);
    }

    /**
     * Returns the number of nodes of the fleet, as far as a node knows that reads the store itself.
     * One that has lost the node which it relied on counts no fewer than before, so that the shares
     * of the nodes do not add up to more than the whole.
     */
    private int countNodes() {
        int known = mUpstream.candidates() == 0 ? 0 : mFleetNodes;
        return Math.max(subtreeNodes(), known);
    }

    /** Returns the number of connections that other nodes have opened. */
    public int inboundConnections() {
        return (int) mOpen.stream().filter(peer -> !peer.isOutbound()).count();
    }

    /** Returns the number of nodes that get their records through this one, with itself. */
    private int subtreeNodes() {
        return 1
                + mOpen.stream()
                        .filter(peer -> !peer.isOutbound())
                        .mapToInt(PeerConnection::subtreeNodes)
                        .sum();
    }

    private void sendPulse(boolean reading, int nodes, int relays) {
        var pulse =
                PeerPulse.newBuilder()
                        .setReading(reading)
                        .setNodes(nodes)
                        .setBeliefs(mBeliefs.encode())
                        .setRelays(relays);
        var message = PeerMessage.newBuilder().setPulse(pulse).build();
        sendToAll(message, peer -> !peer.isOutbound());
    }

    /**
     * Sends records that changed the view to all connected nodes except the one they came from. A
     * node whose connection is full misses them; it detects the gap in the next batch and asks.
     */
    public void spread(StateTopic topic, List<StateRecord> news, Optional<PeerOrigin> origin) {
        StorePosition end = mView.next(topic);
        Map<StorePosition, PeerFrame> frames = new HashMap<>();
        for (var peer : mOpen) {
            boolean isOrigin = origin.filter(o -> o.mConnection == peer).isPresent();
            boolean accepts = peer.hello().isPresent() && peer.isWritable();
            if (!isOrigin && accepts && !news.isEmpty()) {
                StorePosition from = peer.knownEnd(topic);
                frames.computeIfAbsent(
                        from, f -> frame(RecordBatch.incremental(topic, f, end, news)));
                peer.send(frames.get(from));
                peer.onKnown(topic, end);
            }
        }
        frames.values().forEach(PeerFrame::close);
    }

    /** Returns what this node reports of replicas to the others. */
    public PeerReports reports() {
        return mReports;
    }

    /** Returns what this node knows of the teams' demand. */
    public FleetDemand<?> demand() {
        return mDemand;
    }

    /** Closes all connections; no further one is opened. */
    public void stop() {
        mStopped = true;
        List.copyOf(mOpen).forEach(PeerConnection::close);
    }

    long nowNanos() {
        return mClock.monotonicTime();
    }

    void onOpened(PeerConnection peer) {
        mOpen.add(peer);
        sendHello(peer);
        mReports.onOpened(peer);
    }

    void onClosed(PeerConnection peer) {
        mOpen.remove(peer);
        mUpstream.onClosed(peer);
        mDemandRelay.onClosed(peer);
    }

    void onBroken(PeerConnection peer, Throwable cause) {
        mLog.change("peer-connection-broke").with("peer", peer.name()).with("cause", cause).write();
    }

    void onMessage(PeerConnection peer, PeerMessage received) {
        PeerMessage message;
        try {
            message = Deflation.inflate(received);
        } catch (DataFormatException e) {
            // A node that sends unreadable data cannot be relied on: another one is tried, or the
            // store is read.
            onBroken(peer, e);
            peer.close();
            return;
        }
        switch (message.getBodyCase()) {
            case HELLO -> onHello(peer, message.getHello());
            case RECORDS -> onRecords(peer, message.getRecords());
            case PULSE -> onPulse(peer, message.getPulse());
            case STRIKE -> mReports.onStrike(peer, message);
            case HOLDERS -> mReports.onHolders(peer, message.getHolders());
            case LOSSES -> mReports.onLosses(peer, message.getLosses());
            case DEMAND -> mDemandRelay.onMessage(peer, message.getDemand());
            case SUBTREE -> peer.onSubtree(message.getSubtree().getNodes());
            case BODY_NOT_SET ->
                    mLog.change("peer-message-unknown").with("peer", peer.name()).write();
            default -> throw new IllegalStateException("message " + message.getBodyCase());
        }
    }

    private void onHello(PeerConnection peer, PeerHello hello) {
        peer.onHello(hello);
        mUpstream.onHello(peer);
        PeerBeliefs beliefs = hello.getBeliefs();
        mEras.onPeer(beliefs.getStoreEra());
        if (mBeliefs.lacksConfiguration(beliefs)) {
            send(peer, mView.snapshot(StateTopic.CONFIGURATION));
        }
        if (peer.knownEnd(StateTopic.REPLICAS).isBefore(mView.next(StateTopic.REPLICAS))) {
            send(peer, mView.replicasSince(peer.knownEnd(StateTopic.REPLICAS)));
        }
        RecordBatch departed = mView.departedButListed(peer.knownEnd(StateTopic.REPLICAS));
        if (!departed.records().isEmpty()) {
            send(peer, departed);
        }
    }

    private void onRecords(PeerConnection peer, PeerRecords records) {
        RecordBatch batch = PeerRecordsCodec.decode(records);
        mEras.onPeer(batch.end().era());
        mView.onRecordsFromPeer(nowNanos());
        if (!mView.canApply(batch)) {
            sendHello(peer);
            return;
        }
        peer.onKnown(batch.topic(), batch.end());
        mListener.onBatch(batch, new PeerOrigin(peer));
    }

    private void onPulse(PeerConnection peer, PeerPulse pulse) {
        peer.onPulse(pulse, nowNanos());
        PeerBeliefs beliefs = pulse.getBeliefs();
        mEras.onPeer(beliefs.getStoreEra());
        if (mBeliefs.hasNewerConfiguration(beliefs)) {
            sendHello(peer);
        }
        if (mUpstream.isConnectedTo(peer)) {
            onUpstreamPulse(peer, pulse);
        }
    }

    /** Relays a pulse while it tells that the store is being read. */
    private void onUpstreamPulse(PeerConnection peer, PeerPulse pulse) {
        mFleetNodes = pulse.getNodes();
        mListener.onNodes(mFleetNodes);
        mUpstream.reportNodes(subtreeNodes());
        if (pulse.getReading()) {
            mView.onStoreContact(nowNanos());
        }
        if (mUpstream.isServing()) {
            sendPulse(true, mFleetNodes, peer.relays() + 1);
        }
    }

    private void sendHello(PeerConnection peer) {
        StorePosition next = mView.next(StateTopic.REPLICAS);
        var hello =
                PeerHello.newBuilder()
                        .setNode(mNode)
                        .setNextReplica(next.offset())
                        .setNextReplicaEra(next.era())
                        .setReadsDemand(true)
                        .setBeliefs(mBeliefs.encode());
        // Offsets begin at 0, which stands for a rank that is not known.
        mUpstream
                .ownRank()
                .ifPresent(rank -> hello.setRank(rank.offset() + 1).setRankEra(rank.era()));
        peer.send(PeerMessage.newBuilder().setHello(hello).build());
    }

    private void send(PeerConnection peer, RecordBatch batch) {
        try (var frame = frame(batch)) {
            peer.send(frame);
        }
        peer.onKnown(batch.topic(), batch.end());
    }

    private void sendToAll(PeerMessage message, Predicate<PeerConnection> told) {
        try (var frame = PeerFrame.of(message)) {
            mOpen.stream().filter(told).forEach(peer -> peer.send(frame));
        }
    }

    private PeerFrame frame(RecordBatch batch) {
        return PeerFrame.of(PeerRecordsCodec.encode(batch, mView.removalGrace(nowNanos())));
    }

    /** How the connection upstream is opened. */
    private final class UpstreamGroup implements Upstream.Group {
        @Override
        public PeerConnection newConnection() {
            return new PeerConnection(PeerGroup.this, true);
        }

        @Override
        public void connect(
                InetSocketAddress address, PeerConnection connection, Consumer<Boolean> done) {
            mBootstrap
                    .clone()
                    .handler(
                            new ChannelInitializer<>() {
                                @Override
                                protected void initChannel(Channel channel) {
                                    prepare(channel, connection);
                                }
                            })
                    .connect(address)
                    .addListener(result -> done.accept(result.isSuccess()));
        }

        @Override
        public void onCandidatesExhausted() {
            mListener.onMembersOutdated();
        }
    }

    private static void prepare(Channel channel, PeerConnection handler) {
        channel.config()
                .setWriteBufferWaterMark(
                        new WriteBufferWaterMark(HIGH_WATER_BYTES / 2, HIGH_WATER_BYTES));
        channel.pipeline().addLast(new PeerFrameDecoder());
        channel.pipeline().addLast(new ProtobufDecoder(PeerMessage.getDefaultInstance()));
        channel.pipeline().addLast(handler);
    }
}
