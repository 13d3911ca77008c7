package org.fescueport.internal.router;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import org.fescueport.internal.decision.OperationDeclaration;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.decision.ServiceDeclaration;
import org.fescueport.internal.decision.TeamDeclaration;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.decision.placement.LoadBound;
import org.fescueport.internal.decision.placement.PlacementRequest;
import org.fescueport.internal.decision.placement.PlacementResult;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaFilter;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.JsonError;
import org.fescueport.internal.wire.PeerCalls;
import org.fescueport.internal.wire.generated.IssueKey;

/** Asks one agent for a key that only it will ever run, and gives it to the caller. */
final class KeyIssue {
    private static final Duration LIFETIME = Duration.ofMinutes(10);
    private static final int RETRY_AFTER_SECONDS = 1;

    private KeyIssue() {}

    static void start(
            RouterContext context,
            HttpExchange exchange,
            TeamDeclaration team,
            ServiceDeclaration service,
            OperationDeclaration operation,
            RequestId id) {
        switch (choose(context, service, id)) {
            case PlacementResult.Chosen chosen ->
                    ask(context, exchange, chosen.replica(), team, service, operation);
            case PlacementResult.AllBusy ignored -> unavailable(exchange, "all replicas are busy");
            case PlacementResult.NoReplica ignored ->
                    unavailable(exchange, "no replica is in service");
        }
    }

    private static PlacementResult choose(
            RouterContext context, ServiceDeclaration service, RequestId id) {
        var membership = context.membership();
        return context.placement()
                .choose(
                        membership.replicas(service.pool()),
                        PlacementRequest.forNewChat(Affinity.none(id), 1),
                        LoadBound.of(service.loadBound(), 1),
                        membership.loads(service.pool()),
                        ReplicaFilter.ALL,
                        context.clock().monotonicTime());
    }

    private static void ask(
            RouterContext context,
            HttpExchange exchange,
            Replica replica,
            TeamDeclaration team,
            ServiceDeclaration service,
            OperationDeclaration operation) {
        var issue =
                IssueKey.newBuilder()
                        .setTeam(team.id().name())
                        .setService(service.name())
                        .setOperation(operation.name())
                        .setLifetimeMs(LIFETIME.toMillis());
        context.connections()
                .to(replica)
                .thenCompose(link -> link.call(PeerCalls.ISSUE_KEY, issue.build().toByteString()))
                .whenComplete(
                        (reply, failure) -> {
                            if (failure != null) {
                                unavailable(exchange, "the agent gave no key");
                            } else {
                                respond(exchange, reply.getPayload().toStringUtf8());
                            }
                        });
    }

    private static void respond(HttpExchange exchange, String key) {
        var json =
                "{\"idempotencyKey\":\""
                        + String.valueOf(JsonStringEncoder.getInstance().quoteAsString(key))
                        + "\",\"lifetimeMillis\":"
                        + LIFETIME.toMillis()
                        + "}";
        exchange.respond(
                201,
                Map.of("Content-Type", "application/json"),
                json.getBytes(StandardCharsets.UTF_8));
    }

    private static void unavailable(HttpExchange exchange, String why) {
        JsonError.respond(
                exchange,
                503,
                "no_key",
                why + ": ask again later",
                Map.of("Retry-After", Integer.toString(RETRY_AFTER_SECONDS)));
    }
}
