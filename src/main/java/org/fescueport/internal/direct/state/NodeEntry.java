package org.fescueport.internal.direct.state;

import java.net.InetSocketAddress;

/**
 * Where a node of the fleet is reached by its peers.
 *
 * @param rank place of the entry in the store's order; nodes that started earlier have lower ones
 */
public record NodeEntry(String node, InetSocketAddress address, long rank) {}
