package org.fescueport.internal.direct.state;

import java.net.InetSocketAddress;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;

/**
 * What a replica reports about itself.
 *
 * @param slots number of requests that it processes concurrently
 * @param leaving whether it accepts no new requests
 * @param startedAtMillis start time that distinguishes two incarnations with the same ID; 0 if not
 *     reported
 * @param heartbeatNumber increases with each heartbeat of one incarnation; 0 if not reported
 * @param warmUp remaining time during which it can handle only few requests
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
    /** Returns whether a later entry of the replica has the same content; heartbeats repeat it. */
    public boolean isEquivalentTo(ReplicaEntry other) {
        return withoutTimes().equals(other.withoutTimes()) && !other.warmUp.isChangeFrom(warmUp);
    }

    private ReplicaEntry withoutTimes() {
        return new ReplicaEntry(
                id, pool, address, domain, slots, leaving, startedAtMillis, 0, WarmUpTime.warm());
    }

    /** Returns this incarnation of the replica. */
    public AgentIncarnation life() {
        return AgentIncarnation.of(id, startedAtMillis);
    }
}
