package org.fescueport.internal.direct.config;

import java.util.Map;
import org.fescueport.internal.decision.PoolId;

/**
 * A complete configuration; immutable.
 *
 * @param version increases with each configuration, not necessarily by one
 * @param keys API keys that callers need, if any
 * @param maxConnections maximum number of connections that one replica of a pool accepts from all
 *     nodes together
 * @param coldRates requests per second that one replica of a pool can handle from all nodes
 *     together until it has warmed up; absent for pools without a limit
 * @param replicaMemory tokens that one replica of a pool can hold for requests and cached prompts;
 *     absent for pools whose configuration states none, 0 if what it states is unusable
 */
public record FleetConfiguration(
        long version,
        RouteTable routes,
        KeyPolicy keys,
        Map<PoolId, Integer> maxConnections,
        Map<PoolId, Double> coldRates,
        Map<PoolId, Long> replicaMemory,
        CallerLimits limits) {
    public FleetConfiguration {
        maxConnections = Map.copyOf(maxConnections);
        coldRates = Map.copyOf(coldRates);
        replicaMemory = Map.copyOf(replicaMemory);
    }
}
