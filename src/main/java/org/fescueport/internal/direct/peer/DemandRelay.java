package org.fescueport.internal.direct.peer;

import io.micrometer.core.instrument.Clock;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.share.FleetDemand;
import org.fescueport.internal.decision.share.PoolDemand;
import org.fescueport.internal.direct.log.EventLog;
import org.fescueport.internal.wire.generated.PeerDemand;
import org.fescueport.internal.wire.generated.PeerMessage;

/**
 * Tells the demand of the teams along the tree of nodes: each node sends the sum of itself and the
 * nodes behind it to the node that it relies on, and the first node sends the sum of all back. Used
 * by the event loop alone.
 */
final class DemandRelay {
    /** Time between two sums that a node sends to the one that it relies on. */
    private static final Duration UP_INTERVAL = Duration.ofMillis(500);

    /** Time between two sums of the fleet, each of which goes to all nodes. */
    private static final Duration DOWN_INTERVAL = Duration.ofSeconds(1);

    private final Set<PeerConnection> mPeers;
    private final Predicate<PeerConnection> mIsUpstream;
    private final FleetDemand<PeerConnection> mDemand;
    private final Predicate<PoolId> mIsShort;
    private final Clock mClock;
    private final EventLog mLog;
    private long mSentUpNanos;
    private long mSentDownNanos;

    /**
     * Creates a relay.
     *
     * @param peers the open connections, which change
     * @param isUpstream whether this node relies on the node behind a connection
     * @param isShort whether this node is short of a pool
     */
    DemandRelay(
            Set<PeerConnection> peers,
            Predicate<PeerConnection> isUpstream,
            FleetDemand<PeerConnection> demand,
            Predicate<PoolId> isShort,
            Clock clock,
            EventLog log) {
        mPeers = peers;
        mIsUpstream = isUpstream;
        mDemand = demand;
        mIsShort = isShort;
        mClock = clock;
        mLog = log;
        mSentUpNanos = clock.monotonicTime();
        mSentDownNanos = mSentUpNanos;
    }

    /**
     * Sends what is due.
     *
     * @param isServed whether this node relies on another one
     */
    void tick(boolean isServed) {
        long now = mClock.monotonicTime();
        if (isServed && now - mSentUpNanos >= UP_INTERVAL.toNanos()) {
            mSentUpNanos = now;
            sendUp(mDemand.subtree(mIsShort, now));
        } else if (!isServed && now - mSentDownNanos >= DOWN_INTERVAL.toNanos()) {
            mSentDownNanos = now;
            onFleet(mDemand.subtree(mIsShort, now), now);
        }
    }

    void onMessage(PeerConnection from, PeerDemand message) {
        var pools = DemandCodec.decode(message);
        if (pools.isEmpty()) {
            mLog.change("peer-demand-unreadable").with("peer", from.name()).write();
            return;
        }
        long now = mClock.monotonicTime();
        if (message.getFleet() && mIsUpstream.test(from)) {
            onFleet(pools.get(), now);
        } else if (!message.getFleet() && !from.isOutbound()) {
            mDemand.onBehind(from, pools.get(), now);
        }
    }

    void onClosed(PeerConnection peer) {
        mDemand.onClosed(peer);
    }

    private void onFleet(Map<PoolId, PoolDemand> pools, long nowNanos) {
        mDemand.onFleet(pools, nowNanos);
        if (!pools.isEmpty()) {
            send(DemandCodec.encode(pools, true), peer -> !peer.isOutbound());
        }
    }

    private void sendUp(Map<PoolId, PoolDemand> pools) {
        if (!pools.isEmpty()) {
            send(DemandCodec.encode(pools, false), mIsUpstream);
        }
    }

    private void send(PeerDemand demand, Predicate<PeerConnection> receives) {
        try (var frame = PeerFrame.of(PeerMessage.newBuilder().setDemand(demand).build())) {
            mPeers.stream()
                    .filter(receives)
                    .filter(peer -> peer.readsDemand() && peer.isWritable())
                    .forEach(peer -> peer.send(frame));
        }
    }
}
