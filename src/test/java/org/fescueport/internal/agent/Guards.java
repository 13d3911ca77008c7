package org.fescueport.internal.agent;

import io.micrometer.core.instrument.Clock;
import java.util.concurrent.ScheduledExecutorService;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.log.poison.PoisonGuard;
import org.fescueport.internal.log.poison.PoisonSettings;
import org.fescueport.testing.FakeLogService;

/** Guards against poison that know of no strike. */
final class Guards {
    private Guards() {}

    static PoisonGuard withoutStrikes(Clock clock, ScheduledExecutorService executor) {
        return PoisonGuard.start(
                AgentIncarnation.of(NodeId.of("vm-1"), 7),
                FakeLogService.create(clock, executor, 1),
                clock,
                executor,
                PoisonSettings.standard(),
                strikes -> {},
                suspects -> {});
    }
}
