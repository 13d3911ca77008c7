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
 * @param coldRates requests a second that one replica of a pool bears from all nodes together until
 *     it has warmed up; absent where there is no bound
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

    /** Returns the team that holds this key. */
    public Optional<Team> teamByApiKey(ApiKey key) {
        return Optional.ofNullable(teams.get(key));
    }
}
