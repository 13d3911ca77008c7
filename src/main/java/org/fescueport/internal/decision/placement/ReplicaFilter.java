package org.fescueport.internal.decision.placement;

/** Tells which replicas a request may go to: not those tried already, nor the ejected ones. */
@FunctionalInterface
public interface ReplicaFilter {
    /** Allows every replica. */
    ReplicaFilter ALL = replica -> true;

    /** Returns whether the request may go to this replica. */
    boolean allows(Replica replica);

    /** Returns a filter that allows what both allow. */
    default ReplicaFilter and(ReplicaFilter other) {
        return replica -> allows(replica) && other.allows(replica);
    }
}
