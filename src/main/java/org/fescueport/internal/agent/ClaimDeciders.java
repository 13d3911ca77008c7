package org.fescueport.internal.agent;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.claim.ClaimPartitions;
import org.fescueport.internal.decision.claim.ClaimRecord;
import org.fescueport.internal.decision.claim.ClaimVerdict;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.fleet.AgentConnections;
import org.fescueport.internal.fleet.Membership;
import org.fescueport.internal.log.claim.ClaimCodec;
import org.fescueport.internal.log.claim.ClaimDecider;
import org.fescueport.internal.log.claim.ClaimPort;
import org.fescueport.internal.wire.PeerCalls;
import org.fescueport.internal.wire.generated.Reply;

/** The processes that decide a partition's claims: two live agents, and this one as the last. */
final class ClaimDeciders {
    private static final int REMOTE_CHOICES = 2;
    private static final int MOST_AGENTS = 4096;

    private final NodeId mSelf;
    private final ClaimPartitions mPartitions;
    private final ClaimDecider mOwn;
    private final Membership mMembership;
    private final AgentConnections mConnections;

    private ClaimDeciders(
            NodeId self,
            ClaimPartitions partitions,
            ClaimDecider own,
            Membership membership,
            AgentConnections connections) {
        mSelf = self;
        mPartitions = partitions;
        mOwn = own;
        mMembership = membership;
        mConnections = connections;
    }

    static ClaimDeciders create(
            NodeId self,
            ClaimPartitions partitions,
            ClaimDecider own,
            Membership membership,
            AgentConnections connections) {
        return new ClaimDeciders(self, partitions, own, membership, connections);
    }

    /** Returns the deciders of a partition, first choice first. */
    List<ClaimPort> of(int partition) {
        var agents = mMembership.all(MOST_AGENTS).stream().map(Replica::node).toList();
        var ports = new ArrayList<ClaimPort>();
        for (var node : mPartitions.deciders(partition, agents, REMOTE_CHOICES)) {
            if (node.equals(mSelf)) {
                break;
            }
            mMembership.find(node).ifPresent(replica -> ports.add(new RemotePort(replica)));
        }
        ports.add(mOwn);
        return ports;
    }

    private final class RemotePort implements ClaimPort {
        private final Replica mReplica;

        private RemotePort(Replica replica) {
            mReplica = replica;
        }

        @Override
        public CompletableFuture<ClaimVerdict> decide(ClaimRecord.Claim claim) {
            return call(claim).thenApply(reply -> ClaimCodec.decodeVerdict(payload(reply)).get());
        }

        @Override
        public CompletableFuture<Boolean> note(ClaimRecord record) {
            return call(record).thenApply(reply -> ClaimCodec.decodeNoted(payload(reply)));
        }

        private CompletableFuture<Reply> call(ClaimRecord record) {
            var payload = ByteString.copyFrom(ClaimCodec.encode(record));
            return mConnections
                    .to(mReplica)
                    .thenCompose(link -> link.call(PeerCalls.CLAIM, payload));
        }

        private static byte[] payload(Reply reply) {
            return reply.getPayload().toByteArray();
        }
    }
}
