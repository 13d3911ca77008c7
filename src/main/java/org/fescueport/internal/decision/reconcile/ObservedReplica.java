package org.fescueport.internal.decision.reconcile;

import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;

/**
 * A backend server as it was seen last.
 *
 * @param artifact what it serves or loads; empty when it serves nothing
 */
public record ObservedReplica(
        NodeId node, FailureDomain domain, PoolId pool, State state, String artifact) {
    /** What a backend server does. */
    public enum State {
        /** It serves nothing. */
        EMPTY,
        /** It loads, and serves nothing meanwhile. */
        LOADING,
        /** It serves. */
        READY
    }
}
