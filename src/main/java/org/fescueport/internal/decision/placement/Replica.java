package org.fescueport.internal.decision.placement;

import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;

/**
 * A backend server of a pool, which is reached through its agent.
 *
 * @param address address of the agent; not interpreted here
 * @param weight share of new chats relative to the weights of the other replicas; positive
 * @param incarnation incarnation of the agent; 0 until the agent has reported it
 */
public record Replica(
        NodeId node, FailureDomain domain, String address, double weight, long incarnation) {
    public Replica {
        if (!(weight > 0) || Double.isInfinite(weight)) {
            throw new IllegalArgumentException(
                    "weight of " + node + " must be positive and finite, but was " + weight);
        }
    }

    /** Returns a replica with weight 1 and a still unknown incarnation. */
    public static Replica of(NodeId node, FailureDomain domain, String address) {
        return new Replica(node, domain, address, 1, 0);
    }

    /** Returns this replica with the given incarnation. */
    public Replica withIncarnation(long incarnation) {
        return new Replica(node, domain, address, weight, incarnation);
    }

    /**
     * Returns whether this replica has, or may have, the incarnation that a ticket names, so that
     * the chat's cache may still be present.
     */
    public boolean mayHaveIncarnation(long ticketIncarnation) {
        return incarnation == 0 || incarnation == ticketIncarnation;
    }
}
