package org.fescueport.internal.router;

import io.micrometer.core.instrument.Clock;
import java.util.concurrent.ScheduledExecutorService;
import org.fescueport.internal.decision.placement.Placement;
import org.fescueport.internal.decision.retry.RetryBudget;
import org.fescueport.internal.decision.retry.RetryPolicy;
import org.fescueport.internal.fleet.AgentConnections;
import org.fescueport.internal.fleet.Membership;
import org.fescueport.internal.telemetry.Telemetry;

/** What every request of a router uses. */
record RouterContext(
        AgentConnections connections,
        Membership membership,
        Placement placement,
        RouterTokens tokens,
        PoolHealth health,
        RetryBudget budget,
        RetryPolicy retries,
        RouterCounters counters,
        Telemetry telemetry,
        ScheduledExecutorService timers,
        Clock clock) {}
