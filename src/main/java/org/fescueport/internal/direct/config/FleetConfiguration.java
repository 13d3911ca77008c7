package org.fescueport.internal.direct.config;

import java.util.Map;
import java.util.Optional;
import org.fescueport.internal.decision.PoolId;

/**
 * One whole configuration; immutable.
 *
 * @param version grows with each configuration, in uneven steps
 * @param teams by their API keys; empty when callers need none
 * @param maxConnections connections that one replica of a pool takes from all nodes together
 */
public record FleetConfiguration(
        long version,
        RouteTable routes,
        Map<ApiKey, Team> teams,
        Map<PoolId, Integer> maxConnections,
        CallerLimits limits) {
    public FleetConfiguration {
        teams = Map.copyOf(teams);
        maxConnections = Map.copyOf(maxConnections);
    }

    /** Returns the team that holds this key. */
    public Optional<Team> teamOf(ApiKey key) {
        return Optional.ofNullable(teams.get(key));
    }
}
