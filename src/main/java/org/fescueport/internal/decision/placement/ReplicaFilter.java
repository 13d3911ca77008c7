package org.fescueport.internal.decision.placement;

/** Decides which replicas a request may go to; excludes replicas already tried and ejected ones. */
@FunctionalInterface
public interface ReplicaFilter {
    /** Allows every replica. */
    ReplicaFilter ALL = replica -> true;

    /** Returns whether the request may go to this replica. */
    boolean allows(Replica replica);

    /** Returns a filter that allows the replicas that both filters allow. */
    default ReplicaFilter and(ReplicaFilter other) {
        return replica -> allows(replica) && other.allows(replica);
    }
}
