package org.fescueport.internal.decision.attempt;

import org.fescueport.internal.decision.NodeId;

/**
 * One incarnation of an agent process, from its start to its end. A VM that replaces another at the
 * same address has a different incarnation number. The type also identifies incarnations of the
 * backend server that the agent serves.
 */
public record AgentIncarnation(NodeId node, long number) {
    /** Returns the incarnation of {@code node} with this number. */
    public static AgentIncarnation of(NodeId node, long number) {
        return new AgentIncarnation(node, number);
    }

    @Override
    public String toString() {
        return node + "#" + Long.toHexString(number);
    }
}
