package org.fescueport.internal.decision.reconcile;

import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;

/**
 * The last observed state of a backend server.
 *
 * @param artifact the artifact that it serves or loads; empty if it does neither
 */
public record ObservedReplica(
        NodeId node, FailureDomain domain, PoolId pool, State state, String artifact) {
    /** The activity of a backend server. */
    public enum State {
        /** It has no artifact loaded. */
        EMPTY,
        /** It is loading an artifact and serves nothing until it is done. */
        LOADING,
        /** It serves its artifact. */
        READY
    }
}
