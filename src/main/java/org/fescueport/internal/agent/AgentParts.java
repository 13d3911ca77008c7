package org.fescueport.internal.agent;

import io.micrometer.core.instrument.Clock;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.fleet.AgentConnections;
import org.fescueport.internal.fleet.Membership;
import org.fescueport.internal.log.claim.AtMostOnce;
import org.fescueport.internal.log.claim.ClaimDecider;
import org.fescueport.internal.log.claim.ClaimSettings;
import org.fescueport.internal.log.claim.OwnerBoundKeys;
import org.fescueport.internal.log.config.ConfigFollower;
import org.fescueport.internal.log.poison.PoisonGuard;
import org.fescueport.internal.log.poison.PoisonSettings;
import org.fescueport.internal.security.TokenKeys;
import org.fescueport.internal.telemetry.Telemetry;
import org.fescueport.port.LogService;

/** The long-lived parts of an agent, and what is made of them once its address is known. */
record AgentParts(
        AgentSettings settings,
        long incarnation,
        Membership membership,
        AgentConnections connections,
        ConfigFollower config,
        ClaimDecider decider,
        TokenKeys tokenKeys,
        LogService log,
        ScheduledExecutorService loop,
        ScheduledExecutorService timers,
        Clock clock,
        Telemetry telemetry) {
    private static final int MAX_OWNED_KEYS = 20_000;

    /** Returns what grants keyed runs; a key names the address that was taken as its owner's. */
    KeyedRuns keyedRuns(InetSocketAddress listening) {
        var self = AgentIncarnation.of(NodeId.of(settings.node().node()), incarnation);
        var claim = ClaimSettings.standard();
        var deciders =
                ClaimDeciders.create(
                        self.node(), claim.partitions(), decider, membership, connections);
        var claims = AtMostOnce.start(self, deciders::of, clock, timers, claim, new SecureRandom());
        var address = listening.getHostString() + ":" + listening.getPort();
        return KeyedRuns.create(
                claims,
                OwnerBoundKeys.create(self, address, MAX_OWNED_KEYS, clock),
                tokenKeys.tokens(),
                config::declarations,
                claim.window(),
                clock,
                timers);
    }

    CacheImport cacheImport(Backend.Model model) {
        var counters = AgentCounters.of(telemetry);
        return CacheImport.of(model.engine(), membership, connections, loop, clock, counters);
    }

    CacheHandover cacheHandover(Backend.Model model) {
        return CacheHandover.of(
                model.engine(),
                NodeId.of(settings.node().node()),
                PoolId.of(settings.pool()),
                membership,
                CacheHandover.over(connections),
                loop,
                clock,
                AgentCounters.of(telemetry));
    }

    /** Returns what keeps poison away; attempts that become suspect elsewhere are told. */
    PoisonGuard poisonGuard(Consumer<List<AttemptId>> onSuspects) {
        var node = NodeId.of(settings.node().node());
        var pool = PoolId.of(settings.pool());
        var strikes = StrikeSpread.of(node, pool, membership, connections);
        return PoisonGuard.start(
                AgentIncarnation.of(node, incarnation),
                log,
                clock,
                timers,
                PoisonSettings.standard(),
                strikes::tell,
                attempts -> loop.execute(() -> onSuspects.accept(attempts)));
    }
}
