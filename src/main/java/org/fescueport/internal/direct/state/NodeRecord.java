package org.fescueport.internal.direct.state;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.fescueport.internal.decision.FailureDomain;

/**
 * A node's own record in the store.
 *
 * @param address where its peers reach it
 * @param domain failure domain of the node; its name is empty if the record states none
 * @param rank position of the node's first record, if the store has lost that record since
 */
public record NodeRecord(
        InetSocketAddress address, FailureDomain domain, Optional<StorePosition> rank) {
    /** Returns the first record of a node. */
    public static NodeRecord first(InetSocketAddress address, FailureDomain domain) {
        return new NodeRecord(address, domain, Optional.empty());
    }

    /** Returns a record for a node that is registered again and keeps its rank. */
    public static NodeRecord again(
            InetSocketAddress address, FailureDomain domain, StorePosition rank) {
        return new NodeRecord(address, domain, Optional.of(rank));
    }
}
