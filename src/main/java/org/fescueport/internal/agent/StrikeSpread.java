package org.fescueport.internal.agent;

import com.google.protobuf.ByteString;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.fleet.AgentConnections;
import org.fescueport.internal.fleet.Membership;
import org.fescueport.internal.wire.PeerCalls;

/** Tells the other agents of a pool at once that a backend server died; the log tells the rest. */
final class StrikeSpread {
    private static final int MOST_PEERS = 256;

    private final NodeId mSelf;
    private final PoolId mPool;
    private final Membership mMembership;
    private final AgentConnections mConnections;

    private StrikeSpread(
            NodeId self, PoolId pool, Membership membership, AgentConnections connections) {
        mSelf = self;
        mPool = pool;
        mMembership = membership;
        mConnections = connections;
    }

    static StrikeSpread of(
            NodeId self, PoolId pool, Membership membership, AgentConnections connections) {
        return new StrikeSpread(self, pool, membership, connections);
    }

    void tell(byte[] strikes) {
        var payload = ByteString.copyFrom(strikes);
        mMembership.replicas(mPool).replicas().stream()
                .filter(replica -> !replica.node().equals(mSelf))
                .limit(MOST_PEERS)
                .forEach(
                        replica ->
                                mConnections
                                        .to(replica)
                                        .thenAccept(link -> link.call(PeerCalls.STRIKE, payload)));
    }
}
