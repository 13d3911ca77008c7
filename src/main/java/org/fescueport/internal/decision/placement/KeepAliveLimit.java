package org.fescueport.internal.decision.placement;

import java.util.random.RandomGenerator;

/**
 * Decides whether a connection to a replica stays open after a response.
 *
 * <p>Designed for hundreds of nodes before a service with few replicas. A replica accepts a bounded
 * number of connections from all nodes together and resets those beyond it, together with the
 * requests on them, so the idle connections of all nodes must leave room for the ones in use.
 */
public final class KeepAliveLimit {
    /** Fraction of a replica's connections that all nodes together keep idle. */
    private static final double IDLE_SHARE = 0.5;

    private KeepAliveLimit() {}

    /**
     * Returns whether another idle connection may be kept. Where a node's part is less than one
     * connection, it keeps one with that probability.
     *
     * @param idle connections to the replica that this node keeps already
     * @param maxConnections connections that the replica accepts from all nodes together
     * @param nodes number of nodes
     */
    public static boolean mayKeep(int idle, int maxConnections, int nodes, RandomGenerator random) {
        double part = IDLE_SHARE * maxConnections / nodes;
        int whole = (int) part;
        return idle < whole || (idle == whole && random.nextDouble() < part - whole);
    }
}
