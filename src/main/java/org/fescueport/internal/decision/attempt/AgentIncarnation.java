package org.fescueport.internal.decision.attempt;

import org.fescueport.internal.decision.NodeId;

/** One life of an agent's process; a replaced VM on the same address has another number. */
public record AgentIncarnation(NodeId node, long number) {
    /** Returns the incarnation of this number of the node. */
    public static AgentIncarnation of(NodeId node, long number) {
        return new AgentIncarnation(node, number);
    }

    @Override
    public String toString() {
        return node + "#" + Long.toHexString(number);
    }
}
