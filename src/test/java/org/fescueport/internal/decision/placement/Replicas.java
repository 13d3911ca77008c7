package org.fescueport.internal.decision.placement;

import java.util.ArrayList;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;

/** Sets of replicas for tests. */
public final class Replicas {
    public static final PoolId POOL = PoolId.of("basin");

    private Replicas() {}

    /** Returns replicas {@code r0}, {@code r1}, … distributed over three failure domains. */
    public static ReplicaSet set(int count) {
        var replicas = new ArrayList<Replica>();
        for (int i = 0; i < count; i++) {
            replicas.add(replica(i, 1));
        }
        return ReplicaSet.of(POOL, replicas);
    }

    /** Returns the replica {@code r<number>}. */
    public static Replica replica(int number, double weight) {
        var domain = FailureDomain.of("fd" + number % 3);
        return new Replica(NodeId.of("r" + number), domain, "10.0.0." + number, weight, 7);
    }

    /** Returns the set without the given node. */
    public static ReplicaSet without(ReplicaSet set, NodeId node) {
        var replicas = new ArrayList<>(set.replicas());
        replicas.removeIf(replica -> replica.node().equals(node));
        return ReplicaSet.of(set.pool(), replicas);
    }
}
