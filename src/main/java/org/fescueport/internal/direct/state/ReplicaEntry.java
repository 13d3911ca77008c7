package org.fescueport.internal.direct.state;

import java.net.InetSocketAddress;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;

/**
 * What a replica has said of itself.
 *
 * @param slots requests that it works on at once
 * @param leaving whether it takes no new work
 * @param startedAtMillis tells two lives under one id apart; 0 when it does not say
 * @param heartbeatNumber rises with each word of one life; 0 when it does not say
 * @param warmUp how much longer it bears few requests only
 */
public record ReplicaEntry(
        NodeId id,
        PoolId pool,
        InetSocketAddress address,
        FailureDomain domain,
        int slots,
        boolean leaving,
        long startedAtMillis,
        long heartbeatNumber,
        WarmUpTime warmUp) {
    /** Returns whether a later word of the replica says the same; words may be repeated. */
    public boolean isEquivalentTo(ReplicaEntry other) {
        return withoutTimes().equals(other.withoutTimes()) && !other.warmUp.isChangeFrom(warmUp);
    }

    private ReplicaEntry withoutTimes() {
        return new ReplicaEntry(
                id, pool, address, domain, slots, leaving, startedAtMillis, 0, WarmUpTime.warm());
    }

    /** Returns this life of the replica. */
    public AgentIncarnation life() {
        return AgentIncarnation.of(id, startedAtMillis);
    }
}
