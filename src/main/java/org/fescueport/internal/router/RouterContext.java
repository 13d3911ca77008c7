package org.fescueport.internal.router;

import io.micrometer.core.instrument.Clock;
import java.util.concurrent.ScheduledExecutorService;
import org.fescueport.internal.decision.placement.Placement;
import org.fescueport.internal.telemetry.Telemetry;

/** What every request of a router uses. */
record RouterContext(
        AgentConnections connections,
        Membership membership,
        Placement placement,
        RouterTokens tokens,
        RouterCounters counters,
        Telemetry telemetry,
        ScheduledExecutorService timers,
        Clock clock) {}
