package org.fescueport.internal.direct.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Finds the route of a request: among the routes of its host, the one with the longest path prefix.
 *
 * <pre>{@code
 * Optional<Route> route = table.find("booking.example", "/slots/7");
 * }</pre>
 */
public final class RouteTable {
    private final Map<String, Map<String, Route>> mByHost;

    private RouteTable(Map<String, Map<String, Route>> byHost) {
        mByHost = byHost;
    }

    /**
     * Returns a table of these routes. If two have the same host and prefix, the later one is used.
     */
    public static RouteTable of(Collection<Route> routes) {
        Map<String, Map<String, Route>> byHost = new HashMap<>();
        for (var route : routes) {
            byHost.computeIfAbsent(route.host(), host -> new HashMap<>())
                    .put(route.pathPrefix(), route);
        }
        return new RouteTable(byHost);
    }

    /**
     * Returns the route of a path, or empty if no prefix matches.
     *
     * @param host in lower case, without a port
     */
    public Optional<Route> find(String host, String path) {
        Map<String, Route> routes = mByHost.get(host);
        if (routes == null) {
            return Optional.empty();
        }
        for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
            Route route = routes.get(path.substring(0, end + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }
}
