package org.fescueport.internal.direct.config;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.fescueport.internal.decision.PoolId;

/**
 * Where requests for a path prefix of a host are sent, and how they are handled.
 *
 * @param pathPrefix begins and ends with a slash
 * @param targets pools that serve the route, with their weights; never empty
 * @param timeout maximum time for which a caller is kept waiting
 * @param objective latency objective; a response within this time is worth most
 * @param priority 0 is the most urgent
 * @param maxAttempts maximum number of replicas that one request may be sent to
 * @param open whether no API key is required
 * @param longestPause longest pause between the events of a stream that is still on time; absent if
 *     the route declares none
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        List<Target> targets,
        Duration timeout,
        Duration objective,
        int priority,
        int maxAttempts,
        boolean open,
        Optional<Duration> longestPause) {
    /** A pool and the weight that determines its share of a route's requests. */
    public record Target(PoolId pool, int weight) {}

    public Route {
        targets = List.copyOf(targets);
        if (targets.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " names no pool");
        }
    }

    /** A route that declares no longest pause. */
    public Route(
            String name,
            String host,
            String pathPrefix,
            RequestKind kind,
            List<Target> targets,
            Duration timeout,
            Duration objective,
            int priority,
            int maxAttempts,
            boolean open) {
        this(
                name,
                host,
                pathPrefix,
                kind,
                targets,
                timeout,
                objective,
                priority,
                maxAttempts,
                open,
                Optional.empty());
    }

    /**
     * Returns the pool for a request.
     *
     * @param key equal keys get the same pool as long as the weights do not change
     */
    public PoolId poolFor(long key) {
        if (targets.size() == 1) {
            return targets.getFirst().pool();
        }
        int all = targets.stream().mapToInt(Target::weight).sum();
        long remainder = all == 0 ? 0 : Math.floorMod(key >>> 7, (long) all);
        for (var target : targets) {
            remainder -= target.weight();
            if (remainder < 0) {
                return target.pool();
            }
        }
        return targets.getFirst().pool();
    }
}
