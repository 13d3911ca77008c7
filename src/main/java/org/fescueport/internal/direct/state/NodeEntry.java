package org.fescueport.internal.direct.state;

import java.net.InetSocketAddress;
import org.fescueport.internal.decision.FailureDomain;

/**
 * The address at which a router node is reached by its peers.
 *
 * @param domain failure domain of the node; its name is empty if unknown
 * @param rank position of its first record in the store; nodes that started earlier have lower ones
 */
public record NodeEntry(
        String node, InetSocketAddress address, FailureDomain domain, StorePosition rank) {}
