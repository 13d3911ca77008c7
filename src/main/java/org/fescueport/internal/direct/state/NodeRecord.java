package org.fescueport.internal.direct.state;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * What a node of the fleet says of itself in the store.
 *
 * @param address where its peers reach it
 * @param rank the place of its first record, where the store has lost that one since
 */
public record NodeRecord(InetSocketAddress address, Optional<StorePosition> rank) {
    /** Returns the first record of a node. */
    public static NodeRecord first(InetSocketAddress address) {
        return new NodeRecord(address, Optional.empty());
    }

    /** Returns the record of a node that keeps the rank which it had. */
    public static NodeRecord again(InetSocketAddress address, StorePosition rank) {
        return new NodeRecord(address, Optional.of(rank));
    }
}
