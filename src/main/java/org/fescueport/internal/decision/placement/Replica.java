package org.fescueport.internal.decision.placement;

import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;

/**
 * One backend server of a pool, reached through its agent.
 *
 * @param address where its agent listens; opaque here
 * @param weight share of new chats beside the other replicas' weights; positive
 * @param incarnation of its agent; 0 until the agent has told it
 */
public record Replica(
        NodeId node, FailureDomain domain, String address, double weight, long incarnation) {
    public Replica {
        if (!(weight > 0) || Double.isInfinite(weight)) {
            throw new IllegalArgumentException("weight of " + node + " is not positive: " + weight);
        }
    }

    /** Returns the replica with weight 1 and an incarnation that is not known yet. */
    public static Replica of(NodeId node, FailureDomain domain, String address) {
        return new Replica(node, domain, address, 1, 0);
    }

    /** Returns this replica with the incarnation that its agent told. */
    public Replica withIncarnation(long incarnation) {
        return new Replica(node, domain, address, weight, incarnation);
    }

    /** Returns whether a ticket that names this incarnation may still find its cache here. */
    public boolean mayHaveIncarnation(long ticketIncarnation) {
        return incarnation == 0 || incarnation == ticketIncarnation;
    }
}
