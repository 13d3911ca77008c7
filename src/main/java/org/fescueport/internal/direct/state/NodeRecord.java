package org.fescueport.internal.direct.state;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * A node's own record in the store.
 *
 * @param address where its peers reach it
 * @param rank position of the node's first record, if the store has lost that record since
 */
public record NodeRecord(InetSocketAddress address, Optional<StorePosition> rank) {
    /** Returns the first record of a node. */
    public static NodeRecord first(InetSocketAddress address) {
        return new NodeRecord(address, Optional.empty());
    }

    /** Returns a record for a node that is registered again and keeps its rank. */
    public static NodeRecord again(InetSocketAddress address, StorePosition rank) {
        return new NodeRecord(address, Optional.of(rank));
    }
}
