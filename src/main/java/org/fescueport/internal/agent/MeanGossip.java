package org.fescueport.internal.agent;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import java.util.function.DoubleSupplier;
import java.util.function.LongConsumer;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.gossip.GossipPeers;
import org.fescueport.internal.decision.gossip.MeanEstimate;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaSet;
import org.fescueport.internal.fleet.AgentConnections;
import org.fescueport.internal.fleet.Membership;
import org.fescueport.internal.wire.PeerCalls;
import org.fescueport.internal.wire.generated.Reply;

/** Learns the mean load of the agent's pool from a few of its peers; runs on the agent's loop. */
final class MeanGossip {
    private static final int PEERS = 4;
    private static final double LEAK = 0.02;
    private static final int TYPICAL_REPLICAS = 8;

    private final NodeId mSelf;
    private final PoolId mPool;
    private final Membership mMembership;
    private final AgentConnections mConnections;
    private final Executor mLoop;
    private final DoubleSupplier mOwnLoad;
    private final LongConsumer mOnMean;
    private final MeanEstimate mEstimate = MeanEstimate.create(LEAK, TYPICAL_REPLICAS);
    private ReplicaSet mSet;
    private GossipPeers mPeers;

    private MeanGossip(
            NodeId self,
            PoolId pool,
            Membership membership,
            AgentConnections connections,
            Executor loop,
            DoubleSupplier ownLoad,
            LongConsumer onMean) {
        mSelf = self;
        mPool = pool;
        mMembership = membership;
        mConnections = connections;
        mLoop = loop;
        mOwnLoad = ownLoad;
        mOnMean = onMean;
    }

    static MeanGossip create(
            NodeId self,
            PoolId pool,
            Membership membership,
            AgentConnections connections,
            Executor loop,
            DoubleSupplier ownLoad,
            LongConsumer onMean) {
        return new MeanGossip(self, pool, membership, connections, loop, ownLoad, onMean);
    }

    /** Exchanges estimates with the next peer. */
    void round() {
        mEstimate.beginRound(mOwnLoad.getAsDouble());
        var peer = nextPeer();
        if (peer == null) {
            mOnMean.accept(0);
            return;
        }
        mOnMean.accept(Math.round(mEstimate.poolMean()));
        double told = mEstimate.estimateToSend();
        mConnections
                .to(peer)
                .thenCompose(link -> link.call(PeerCalls.MEAN, bytes(told)))
                .thenAcceptAsync(reply -> mEstimate.onReply(told, answerOf(reply)), mLoop);
    }

    /** Answers a peer's estimate with the own one. */
    ByteString answer(ByteString payload) {
        return bytes(mEstimate.respond(payload.asReadOnlyByteBuffer().getDouble()));
    }

    private Replica nextPeer() {
        var set = mMembership.replicas(mPool);
        if (set != mSet) {
            mSet = set;
            mPeers = GossipPeers.of(set, mSelf, PEERS);
        }
        return mPeers.next();
    }

    private static double answerOf(Reply reply) {
        return reply.getPayload().asReadOnlyByteBuffer().getDouble();
    }

    private static ByteString bytes(double value) {
        var buffer = ByteBuffer.allocate(Double.BYTES).putDouble(value).flip();
        return ByteString.copyFrom(buffer);
    }
}
