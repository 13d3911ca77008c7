package org.fescueport.internal.direct.config;

import java.util.Map;
import java.util.Optional;
import org.fescueport.internal.decision.PoolId;

/**
 * A complete configuration; immutable.
 *
 * @param version increases with each configuration, not necessarily by one
 * @param teams by their API keys; empty if callers need none
 * @param maxConnections maximum number of connections that one replica of a pool accepts from all
 *     nodes together
 * @param coldRates requests per second that one replica of a pool can handle from all nodes
 *     together until it has warmed up; absent for pools without a limit
 */
public record FleetConfiguration(
        long version,
        RouteTable routes,
        Map<ApiKey, Team> teams,
        Map<PoolId, Integer> maxConnections,
        Map<PoolId, Double> coldRates,
        CallerLimits limits) {
    public FleetConfiguration {
        teams = Map.copyOf(teams);
        maxConnections = Map.copyOf(maxConnections);
        coldRates = Map.copyOf(coldRates);
    }

    /** Returns the team that owns this API key, or empty if no team does. */
    public Optional<Team> teamByApiKey(ApiKey key) {
        return Optional.ofNullable(teams.get(key));
    }
}
