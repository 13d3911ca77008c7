package org.fescueport.internal.direct.peer;

import io.micrometer.core.instrument.Clock;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.zip.DataFormatException;
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
import org.fescueport.internal.wire.generated.PeerStrike;

/**
 * The nodes of the fleet as this one sees them: one of them reads the store for the others.
 *
 * <p>Nodes are ranked by the order of their records in the store, so that each knows all that came
 * before it. Each connects to the first one there that answers, and leaves the reading to it while
 * it tells at a steady pace that it reads. Whoever reads itself passes news on to all that it is
 * connected with. Two that read at once cost calls and nothing else. Used by the event loop alone.
 */
public final class PeerGroup {
    /** A little more than the pace of readings; inside what a leaving replica allows. */
    private static final Duration PULSE_AGE = Duration.ofMillis(1_250);

    /** A connection that has told nothing for so long may have gone silent for good. */
    private static final Duration SILENCE = Duration.ofMillis(2_500);

    private static final Duration CONNECT_TIME = Duration.ofMillis(500);
    private static final int HIGH_WATER_BYTES = 4 * 1_024 * 1_024;

    /** Told what comes from peers. */
    public interface Listener {
        /** Records have come that follow what is known. */
        void onBatch(RecordBatch batch, PeerOrigin origin);

        /** A request was lost with a replica at another node. */
        void onStrike(PeerStrike strike);

        /** So many nodes are counted now. */
        void onNodes(int nodes);
    }

    /** Marks where a batch came from, so that it is not sent back. */
    public static final class PeerOrigin {
        private final PeerConnection mConnection;

        private PeerOrigin(PeerConnection connection) {
            mConnection = connection;
        }
    }

    /** A connection to a node that has not yet told its rank. */
    private record Trial(PeerConnection peer, Candidates.Candidate candidate, long sinceNanos) {}

    private final String mNode;
    private final FleetView mView;
    private final EraTracker mEras;
    private final Clock mClock;
    private final EventLog mLog;
    private final Bootstrap mBootstrap;
    private final Candidates mCandidates;
    private final Set<PeerConnection> mOpen = new LinkedHashSet<>();
    private Listener mListener;
    private Optional<PeerConnection> mHub = Optional.empty();
    private Optional<Candidates.Candidate> mHubCandidate = Optional.empty();
    private Optional<Trial> mTrial = Optional.empty();
    private Optional<StorePosition> mRank = Optional.empty();
    private boolean mConnecting;
    private boolean mStopped;

    private PeerGroup(
            String node,
            FleetView view,
            EraTracker eras,
            EventLoopGroup loop,
            Clock clock,
            EventLog log) {
        mNode = node;
        mView = view;
        mEras = eras;
        mClock = clock;
        mLog = log;
        mCandidates = new Candidates(clock);
        mBootstrap = ClientSockets.on(loop, CONNECT_TIME);
    }

    /** Returns a group that knows no other node. */
    public static PeerGroup create(
            String node,
            FleetView view,
            EraTracker eras,
            EventLoopGroup loop,
            Clock clock,
            EventLog log) {
        return new PeerGroup(node, view, eras, loop, clock, log);
    }

    /** Sets who is told what comes from peers. */
    public void listen(Listener listener) {
        mListener = listener;
    }

    /** Returns what prepares a connection that another node has opened. */
    public ChannelInitializer<Channel> initializer() {
        return initializer(false);
    }

    /** Names nodes that may know more while the store cannot be asked. */
    public void onSeeds(List<java.net.InetSocketAddress> seeds) {
        mCandidates.onSeeds(seeds);
    }

    /**
     * Takes in this node's place and the nodes before it.
     *
     * @param rank of this node
     * @param entries of all nodes, also of those that are gone
     */
    public void onMembers(StorePosition rank, List<NodeEntry> entries) {
        mRank = Optional.of(rank);
        mCandidates.onMembers(
                entries.stream()
                        .filter(e -> e.rank().isBefore(rank) && !e.node().equals(mNode))
                        .toList());
        mLog.change("ranked").with("rank", rank).with("before", mCandidates.size()).write();
        mOpen.forEach(this::sendHello);
    }

    /** Returns whether a peer reads the store for this node. */
    public boolean isServed() {
        long now = nowNanos();
        return mHub.filter(hub -> precedes(hub) && hub.isReading(now, PULSE_AGE.toNanos()))
                .isPresent();
    }

    /**
     * Returns whether this node knows the configuration that the nodes before it have in force, or
     * is the first one. The store may just have come back from a copy with an older one.
     */
    public boolean isCaughtUp() {
        if (mRank.isEmpty()) {
            return false;
        }
        if (mCandidates.size() == 0) {
            return true;
        }
        return mOpen.stream()
                .flatMap(peer -> peer.hello().stream())
                .anyMatch(hello -> !hasNewerConfiguration(hello.getBeliefs()));
    }

    /**
     * Looks after the connection to the first node before this one that answers.
     *
     * @param storeAnswers whether this node can do without its peers
     */
    public void tick(boolean storeAnswers) {
        if (mStopped) {
            return;
        }
        long now = nowNanos();
        if (mHub.isPresent() && isUseless(mHub.get(), storeAnswers, now)) {
            mHub.get().close();
        }
        mTrial.filter(trial -> now - trial.sinceNanos() > CONNECT_TIME.toNanos())
                .ifPresent(trial -> endTrial(trial, storeAnswers));
        if (!mConnecting && mTrial.isEmpty()) {
            boolean seeds = !storeAnswers && mHub.isEmpty();
            mCandidates.next(mHubCandidate, seeds).ifPresent(this::connect);
        }
    }

    /** Tells the nodes that rely on this one how its reading goes. */
    public void pulse(boolean reading) {
        int nodes = nodes();
        var pulse =
                PeerPulse.newBuilder().setReading(reading).setNodes(nodes).setBeliefs(beliefs());
        var message = PeerMessage.newBuilder().setPulse(pulse).build();
        sendToAll(message, peer -> !peer.isOutbound());
        mListener.onNodes(nodes);
    }

    /**
     * Passes news on to all connected nodes but the one that they came from. One that can't take
     * them now notices the gap at the next news, and asks.
     */
    public void spread(StateTopic topic, List<StateRecord> news, Optional<PeerOrigin> origin) {
        StorePosition end = mView.next(topic);
        Map<StorePosition, PeerFrame> frames = new HashMap<>();
        for (var peer : mOpen) {
            boolean came = origin.filter(o -> o.mConnection == peer).isPresent();
            boolean takes = peer.hello().isPresent() && peer.isWritable();
            if (!came && takes && !news.isEmpty()) {
                StorePosition from = peer.knownEnd(topic);
                frames.computeIfAbsent(
                        from, f -> frame(RecordBatch.incremental(topic, f, end, news)));
                peer.send(frames.get(from));
                peer.onKnown(topic, end);
            }
        }
        frames.values().forEach(PeerFrame::close);
    }

    /** Tells all connected nodes that a request was lost with a replica. */
    public void spread(PeerStrike strike) {
        sendToAll(PeerMessage.newBuilder().setStrike(strike).build(), peer -> true);
    }

    /** Ends all connections; none is opened any more. */
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
    }

    void onClosed(PeerConnection peer) {
        mOpen.remove(peer);
        mTrial = mTrial.filter(trial -> trial.peer() != peer);
        if (mHub.filter(hub -> hub == peer).isPresent()) {
            mLog.change("peer-lost").with("peer", peer.name()).write();
            mHub = Optional.empty();
            mHubCandidate = Optional.empty();
        }
    }

    void onBroken(PeerConnection peer, Throwable cause) {
        mLog.change("peer-connection-broke").with("peer", peer.name()).with("cause", cause).write();
    }

    void onMessage(PeerConnection peer, PeerMessage message) {
        switch (message.getBodyCase()) {
            case HELLO -> onHello(peer, message.getHello());
            case RECORDS -> onRecords(peer, message.getRecords());
            case PULSE -> onPulse(peer, message.getPulse());
            case STRIKE -> onStrike(peer, message);
            case BODY_NOT_SET ->
                    mLog.change("peer-message-unknown").with("peer", peer.name()).write();
            default -> throw new IllegalStateException("message " + message.getBodyCase());
        }
    }

    private void onHello(PeerConnection peer, PeerHello hello) {
        peer.onHello(hello);
        mTrial.filter(trial -> trial.peer() == peer).ifPresent(this::judge);
        PeerBeliefs beliefs = hello.getBeliefs();
        mEras.onPeer(beliefs.getStoreEra());
        if (hasOlderConfiguration(beliefs) || drainedEnd(beliefs).isBefore(mView.drainedEnd())) {
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

    /** Returns whether the other node lacks the configuration in force here. */
    private boolean hasOlderConfiguration(PeerBeliefs other) {
        OptionalLong own = mView.configurationVersion();
        boolean known = other.hasConfigurationVersion();
        return own.isPresent() && (!known || other.getConfigurationVersion() < own.getAsLong());
    }

    /** Returns whether this node lacks the configuration in force at the other. */
    private boolean hasNewerConfiguration(PeerBeliefs other) {
        OptionalLong own = mView.configurationVersion();
        return other.hasConfigurationVersion()
                && (own.isEmpty() || other.getConfigurationVersion() > own.getAsLong());
    }

    private static StorePosition drainedEnd(PeerBeliefs beliefs) {
        return StorePosition.of(beliefs.getDrainedEra(), beliefs.getDrainedEnd());
    }

    private PeerBeliefs beliefs() {
        StorePosition drained = mView.drainedEnd();
        var beliefs =
                PeerBeliefs.newBuilder()
                        .setStoreEra(mEras.current())
                        .setDrainedEra(drained.era())
                        .setDrainedEnd(drained.offset());
        mView.configurationVersion().ifPresent(beliefs::setConfigurationVersion);
        return beliefs.build();
    }

    private void onRecords(PeerConnection peer, PeerRecords records) {
        RecordBatch batch;
        try {
            batch = PeerRecordsCodec.decode(records);
        } catch (DataFormatException e) {
            // A node that has read this can't be relied on; another one is tried, or the store.
            onBroken(peer, e);
            peer.close();
            return;
        }
        mView.onPeerRemovalGrace(Duration.ofMillis(records.getLapseGraceMs()), nowNanos());
        if (!mView.canApply(batch)) {
            sendHello(peer);
            return;
        }
        peer.onKnown(batch.topic(), batch.end());
        mListener.onBatch(batch, new PeerOrigin(peer));
    }

    private void onPulse(PeerConnection peer, PeerPulse pulse) {
        peer.onPulse(pulse.getReading(), nowNanos());
        PeerBeliefs beliefs = pulse.getBeliefs();
        mEras.onPeer(beliefs.getStoreEra());
        if (hasNewerConfiguration(beliefs) || mView.drainedEnd().isBefore(drainedEnd(beliefs))) {
            sendHello(peer);
        }
        if (mHub.filter(hub -> hub == peer).isPresent()) {
            mListener.onNodes(pulse.getNodes());
        }
    }

    /** Strikes go on to those who are not connected with the node that told it. */
    private void onStrike(PeerConnection from, PeerMessage message) {
        mListener.onStrike(message.getStrike());
        if (!from.isOutbound()) {
            sendToAll(message, peer -> peer != from && !peer.isOutbound());
        }
    }

    private boolean isUseless(PeerConnection hub, boolean storeAnswers, long nowNanos) {
        boolean silent = hub.silentNanos(nowNanos) > SILENCE.toNanos();
        boolean wrongOrder = hub.hello().isPresent() && !precedes(hub);
        return silent || (storeAnswers && wrongOrder);
    }

    /** Two nodes never rely on each other, as only one of them comes before the other. */
    private boolean precedes(PeerConnection peer) {
        return peer.rank().filter(this::isBeforeOwn).isPresent();
    }

    private boolean isBeforeOwn(StorePosition rank) {
        return mRank.map(rank::isBefore).orElse(true);
    }

    private void connect(Candidates.Candidate candidate) {
        mConnecting = true;
        var handler = new PeerConnection(this, true);
        mBootstrap
                .clone()
                .handler(initializer(handler))
                .connect(candidate.address())
                .addListener(
                        done -> {
                            mConnecting = false;
                            if (done.isSuccess()) {
                                onConnected(candidate, handler);
                            } else {
                                mCandidates.onFailed(candidate);
                            }
                        });
    }

    private void onConnected(Candidates.Candidate candidate, PeerConnection handler) {
        mCandidates.onConnected(candidate);
        mTrial = Optional.of(new Trial(handler, candidate, nowNanos()));
    }

    /**
     * Relies on a node from now on if it comes before this one. A node that has started anew since
     * its record was read comes later, and is not tried again.
     */
    private void judge(Trial trial) {
        if (precedes(trial.peer())) {
            promote(trial);
        } else if (mRank.isPresent() && trial.peer().rank().isPresent()) {
            mCandidates.onLaterLife(trial.candidate());
        }
    }

    private void promote(Trial trial) {
        mTrial = Optional.empty();
        Optional<PeerConnection> former = mHub;
        mHub = Optional.of(trial.peer());
        mHubCandidate = Optional.of(trial.candidate());
        former.ifPresent(PeerConnection::close);
        mLog.change("peer-connected").with("address", trial.candidate().address()).write();
    }

    /** Keeps a node that does not come before this one only while nothing better is known. */
    private void endTrial(Trial trial, boolean storeAnswers) {
        if (storeAnswers || mHub.isPresent()) {
            trial.peer().close();
        } else {
            promote(trial);
        }
    }

    private void sendHello(PeerConnection peer) {
        var hello =
                PeerHello.newBuilder()
                        .setNode(mNode)
                        .setNextReplica(mView.next(StateTopic.REPLICAS).offset())
                        .setNextReplicaEra(mView.next(StateTopic.REPLICAS).era())
                        .setBeliefs(beliefs());
        // Offsets begin at 0, which stands for a rank that is not known.
        mRank.ifPresent(rank -> hello.setRank(rank.offset() + 1).setRankEra(rank.era()));
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

    private int nodes() {
        return 1 + (int) mOpen.stream().filter(peer -> !peer.isOutbound()).count();
    }

    private ChannelInitializer<Channel> initializer(boolean outbound) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                prepare(channel, new PeerConnection(PeerGroup.this, outbound));
            }
        };
    }

    private static ChannelInitializer<Channel> initializer(PeerConnection handler) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                prepare(channel, handler);
            }
        };
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
