package org.fescueport.internal.decision.lease;

import org.fescueport.internal.decision.NodeId;

/** One incarnation of a node; a restarted node is another holder. */
public record LeaseHolder(NodeId node, long incarnation) {
    /** Returns the holder of this node and incarnation. */
    public static LeaseHolder of(NodeId node, long incarnation) {
        return new LeaseHolder(node, incarnation);
    }
}
