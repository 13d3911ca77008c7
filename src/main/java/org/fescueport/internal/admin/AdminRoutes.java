package org.fescueport.internal.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.Routes;
import org.fescueport.internal.telemetry.Telemetry;

/** The resources that routers and agents offer to operators and to the platform's balancer. */
public final class AdminRoutes {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Map<String, String> JSON_TYPE = Map.of("Content-Type", "application/json");
    private static final Map<String, String> TEXT_TYPE =
            Map.of("Content-Type", "text/plain; charset=utf-8");

    private AdminRoutes() {}

    /** Adds {@code /healthz}, {@code /readyz} and {@code /metrics}. */
    public static Routes addChecks(Routes routes, AdminNode node, Telemetry telemetry) {
        return routes.get("/healthz", (exchange, path) -> answerHealth(exchange, node))
                .get("/readyz", (exchange, path) -> answerReadiness(exchange, node))
                .get(
                        "/metrics",
                        (exchange, path) -> exchange.respond(200, TEXT_TYPE, telemetry.scrape()));
    }

    /** Adds {@code /v1/status}, {@code /v1/tree} and {@code POST /v1/drain}. */
    public static Routes addOperations(Routes routes, AdminNode node) {
        return routes.get(
                        "/v1/status",
                        (exchange, path) -> exchange.respond(200, JSON_TYPE, json(node.status())))
                .get(
                        "/v1/tree",
                        (exchange, path) -> exchange.respond(200, TEXT_TYPE, bytes(node.tree())))
                .post("/v1/drain", (exchange, path) -> drain(exchange, node));
    }

    private static void answerHealth(HttpExchange exchange, AdminNode node) {
        boolean isLeaving = node.status().leaving();
        exchange.respond(isLeaving ? 503 : 200, TEXT_TYPE, bytes(isLeaving ? "leaving" : "ok"));
    }

    private static void answerReadiness(HttpExchange exchange, AdminNode node) {
        var why = node.whyNotReady();
        exchange.respond(
                why.isEmpty() ? 200 : 503, TEXT_TYPE, bytes(why.isEmpty() ? "ready" : why));
    }

    private static void drain(HttpExchange exchange, AdminNode node) {
        node.drain("operator");
        exchange.respond(202, JSON_TYPE, json(node.status()));
    }

    private static byte[] json(AdminNode.Status status) {
        try {
            return JSON.writeValueAsBytes(status);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a status cannot be written as JSON", e);
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
