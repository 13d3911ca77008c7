package org.fescueport.internal.agent;

import io.micrometer.core.instrument.Clock;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.fleet.AgentConnections;
import org.fescueport.internal.fleet.Membership;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.internal.log.config.ConfigFollower;
import org.fescueport.internal.log.lease.LeaseKeeper;
import org.fescueport.internal.port.HttpWeightStore;
import org.fescueport.internal.telemetry.Telemetry;
import org.fescueport.port.Engine;
import org.fescueport.port.LogService;

/** Makes an agent's parts that place models: the duty under the lease, and the taking of orders. */
record PlacementParts(
        AgentSettings settings,
        HttpCaller caller,
        LogService log,
        ConfigFollower config,
        Membership membership,
        AgentConnections connections,
        ScheduledExecutorService timers,
        Clock clock,
        Telemetry telemetry) {
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);

    /** Returns the duty, if a weight store is set. */
    Optional<PlacementDuty> duty(LeaseKeeper keeper) {
        return settings.weightsUrl().map(url -> duty(keeper, store(url)));
    }

    /** Starts taking orders to the engine. */
    OrderCalls orders(
            Engine engine, ReplicaStatus status, Supplier<CompletableFuture<Integer>> active) {
        var orders =
                OrderCalls.start(
                        engine,
                        status,
                        active,
                        log,
                        timers,
                        clock,
                        Duration.ofSeconds(settings.drainSeconds()),
                        telemetry.registry());
        var pool = PoolId.of(settings.pool());
        config.addListener(declarations -> orders.onDeclarations(declarations, pool));
        return orders;
    }

    private PlacementDuty duty(LeaseKeeper keeper, PlacementDuty.Store store) {
        return PlacementDuty.create(
                keeper,
                store,
                membership,
                connections,
                config::declarations,
                timers,
                clock,
                telemetry);
    }

    private PlacementDuty.Store store(URI url) {
        var weights = HttpWeightStore.of(caller, url.toString(), STORE_TIMEOUT);
        return new PlacementDuty.Store(weights, settings.weightsBytesPerSecond());
    }
}
