package org.fescueport.internal.direct.state;

import java.net.InetSocketAddress;

/**
 * The address at which a router node is reached by its peers.
 *
 * @param rank position of its first record in the store; nodes that started earlier have lower ones
 */
public record NodeEntry(String node, InetSocketAddress address, StorePosition rank) {}
