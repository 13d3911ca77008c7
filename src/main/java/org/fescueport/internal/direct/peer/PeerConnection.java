package org.fescueport.internal.direct.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.time.Duration;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BinaryOperator;
import org.fescueport.internal.direct.state.StateTopic;
import org.fescueport.internal.direct.state.StorePosition;
import org.fescueport.internal.wire.generated.PeerHello;
import org.fescueport.internal.wire.generated.PeerMessage;
import org.fescueport.internal.wire.generated.PeerPulse;
import org.fescueport.internal.wire.generated.PeerSubtree;

/** A connection to another node, opened by either side. */
final class PeerConnection extends SimpleChannelInboundHandler<PeerMessage> {
    /** Larger than the depth of any tree of nodes; a higher number is an error of the sender. */
    private static final int MAX_RELAYS = 8;

    /** Larger than any fleet; a higher number is an error of the sender. */
    private static final int MAX_NODES = 100_000;

    private final PeerGroup mGroup;
    private final boolean mOutbound;
    private final Map<StateTopic, StorePosition> mKnownEnds = new EnumMap<>(StateTopic.class);
    private ChannelHandlerContext mContext;
    private Optional<PeerHello> mHello = Optional.empty();
    private int mSubtreeNodes = 1;
    private boolean mReading;
    private int mRelays;
    private long mPulseAtNanos;
    private long mOpenedNanos;

    PeerConnection(PeerGroup group, boolean outbound) {
        mGroup = group;
        mOutbound = outbound;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        mContext = context;
        mOpenedNanos = mGroup.nowNanos();
        mGroup.onOpened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mGroup.onClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        mGroup.onBroken(this, cause);
        context.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerMessage message) {
        mGroup.onMessage(this, message);
    }

    boolean isOutbound() {
        return mOutbound;
    }

    /** Returns the last hello of the other side; empty before the first one. */
    Optional<PeerHello> hello() {
        return mHello;
    }

    /** Returns whether the other side has said that it understands the demand of teams. */
    boolean readsDemand() {
        return mHello.filter(PeerHello::getReadsDemand).isPresent();
    }

    String name() {
        return mHello.map(PeerHello::getNode).orElse("a peer without a name");
    }

    void onHello(PeerHello hello) {
        mHello = Optional.of(hello);
        var next = StorePosition.of(hello.getNextReplicaEra(), hello.getNextReplica());
        mKnownEnds.put(StateTopic.REPLICAS, next);
    }

    void onPulse(PeerPulse pulse, long nowNanos) {
        mReading = pulse.getReading();
        mRelays = Math.clamp(pulse.getRelays(), 0, MAX_RELAYS);
        mPulseAtNanos = nowNanos;
    }

    /** Returns whether the other side has told within this time that the store is being read. */
    boolean isReading(long nowNanos, Duration maxAge) {
        return mReading && nowNanos - mPulseAtNanos <= maxAge.toNanos();
    }

    /** Returns the number of nodes between the one that reads the store and this connection. */
    int relays() {
        return mRelays;
    }

    /** Sets the number of nodes that get their records through the other side, with itself. */
    void onSubtree(int nodes) {
        mSubtreeNodes = Math.clamp(nodes, 1, MAX_NODES);
    }

    /** Returns the number of nodes that get their records through the other side, with itself. */
    int subtreeNodes() {
        return mSubtreeNodes;
    }

    void sendSubtree(int nodes) {
        send(PeerMessage.newBuilder().setSubtree(PeerSubtree.newBuilder().setNodes(nodes)).build());
    }

    /** Returns the time since the last pulse, or since the connection was opened. */
    long silentNanos(long nowNanos) {
        long since = mPulseAtNanos == 0 ? mOpenedNanos : mPulseAtNanos;
        return nowNanos - since;
    }

    /** Returns the rank of the other side; empty while it has none. */
    Optional<StorePosition> rank() {
        return mHello.filter(hello -> hello.getRank() != 0)
                .map(hello -> StorePosition.of(hello.getRankEra(), hello.getRank() - 1));
    }

    /** Returns the position up to which the other side knows the records of a topic. */
    StorePosition knownEnd(StateTopic topic) {
        return mKnownEnds.getOrDefault(topic, StorePosition.START);
    }

    void onKnown(StateTopic topic, StorePosition end) {
        mKnownEnds.merge(topic, end, BinaryOperator.maxBy(Comparator.naturalOrder()));
    }

    void send(PeerMessage message) {
        try (var frame = PeerFrame.of(message)) {
            send(frame);
        }
    }

    void send(PeerFrame frame) {
        mContext.writeAndFlush(frame.bytes());
    }

    /** Returns whether the write buffer has room. */
    boolean isWritable() {
        return mContext.channel().isWritable();
    }

    void close() {
        mContext.close();
    }
}
