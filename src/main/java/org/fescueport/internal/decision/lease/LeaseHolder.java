package org.fescueport.internal.decision.lease;

import org.fescueport.internal.decision.NodeId;

/** The identity of a lease holder: a node's incarnation. A restarted node is a different holder. */
public record LeaseHolder(NodeId node, long incarnation) {
    /** Returns the holder of this node and incarnation. */
    public static LeaseHolder of(NodeId node, long incarnation) {
        return new LeaseHolder(node, incarnation);
    }
}
