package org.fescueport.internal.direct.state;

import java.net.InetSocketAddress;

/**
 * Where a node of the fleet is reached by its peers.
 *
 * @param rank place of its first record in the store; nodes that started earlier have lower ones
 */
public record NodeEntry(String node, InetSocketAddress address, StorePosition rank) {}
