package org.fescueport.internal.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Hands each request to the handler of its method and path, and answers 404 or 405 else.
 *
 * <pre>{@code
 * HttpHandler handler = Routes.of()
 *         .get("/healthz", (exchange, path) -> ...)
 *         .post("/v1/services/{service}/{operation}", (exchange, path) -> path.get("service"));
 * }</pre>
 */
public final class Routes implements HttpHandler {
    /** Handles a request whose path matched. */
    @FunctionalInterface
    public interface RouteHandler {
        /** Handles one request on an I/O thread. */
        void handle(HttpExchange exchange, PathParameters path);
    }

    /** The parts of a path that stand for names in braces. */
    public record PathParameters(Map<String, String> values) {
        private static final PathParameters NONE = new PathParameters(Map.of());

        /** Returns the part of this name; the route's pattern must have it. */
        public String get(String name) {
            String value = values.get(name);
            if (value == null) {
                throw new IllegalArgumentException("The route has no part {" + name + "}.");
            }
            return value;
        }
    }

    private record Template(String[] segments, Map<String, RouteHandler> methods) {
        PathParameters match(String[] path) {
            if (path.length != segments.length) {
                return null;
            }
            Map<String, String> values = new HashMap<>();
            for (int i = 0; i < path.length; i++) {
                String segment = segments[i];
                if (segment.startsWith("{")) {
                    values.put(segment.substring(1, segment.length() - 1), path[i]);
                } else if (!segment.equals(path[i])) {
                    return null;
                }
            }
            return new PathParameters(values);
        }
    }

    private final Map<String, Map<String, RouteHandler>> mFixed = new HashMap<>();
    private final List<Template> mTemplates = new ArrayList<>();

    private Routes() {}

    /** Returns a table without routes. */
    public static Routes of() {
        return new Routes();
    }

    /** Adds a route for GET. */
    public Routes get(String pattern, RouteHandler handler) {
        return add("GET", pattern, handler);
    }

    /** Adds a route for POST. */
    public Routes post(String pattern, RouteHandler handler) {
        return add("POST", pattern, handler);
    }

    /** Adds a route for DELETE. */
    public Routes delete(String pattern, RouteHandler handler) {
        return add("DELETE", pattern, handler);
    }

    @Override
    public void handle(HttpExchange exchange) {
        Map<String, RouteHandler> methods = mFixed.get(exchange.path());
        PathParameters parameters = PathParameters.NONE;
        if (methods == null) {
            String[] path = exchange.path().split("/", -1);
            for (Template template : mTemplates) {
                PathParameters matched = template.match(path);
                if (matched != null) {
                    methods = template.methods();
                    parameters = matched;
                    break;
                }
            }
        }
        dispatch(exchange, methods, parameters);
    }

    private static void dispatch(
            HttpExchange exchange, Map<String, RouteHandler> methods, PathParameters parameters) {
        if (methods == null) {
            JsonError.respond(exchange, 404, "not_found", "No resource " + exchange.path() + ".");
            return;
        }
        RouteHandler handler = methods.get(exchange.method());
        if (handler == null) {
            String allowed = String.join(", ", new TreeSet<>(methods.keySet()));
            JsonError.respond(
                    exchange,
                    405,
                    "method_not_allowed",
                    "Use " + allowed + " on " + exchange.path() + ".",
                    Map.of("Allow", allowed));
            return;
        }
        handler.handle(exchange, parameters);
    }

    private Routes add(String method, String pattern, RouteHandler handler) {
        if (!pattern.contains("{")) {
            mFixed.computeIfAbsent(pattern, unused -> new HashMap<>()).put(method, handler);
            return this;
        }
        String[] segments = pattern.split("/", -1);
        for (Template template : mTemplates) {
            if (List.of(template.segments()).equals(List.of(segments))) {
                template.methods().put(method, handler);
                return this;
            }
        }
        Map<String, RouteHandler> methods = new HashMap<>();
        methods.put(method, handler);
        mTemplates.add(new Template(segments, methods));
        return this;
    }
}
