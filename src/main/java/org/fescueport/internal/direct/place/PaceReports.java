package org.fescueport.internal.direct.place;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.fescueport.internal.decision.placement.ReplicaPace;
import org.fescueport.internal.direct.log.EventLog;

/** Counts and logs the changes of the pace of replicas. */
public final class PaceReports implements ReplicaPace.Listener {
    private final EventLog mLog;
    private final Map<ReplicaPace.State, Counter> mChanges = new EnumMap<>(ReplicaPace.State.class);

    private PaceReports(MeterRegistry registry, EventLog log) {
        mLog = log;
        for (var state : ReplicaPace.State.values()) {
            mChanges.put(
                    state,
                    Counter.builder("fescue.pace.changes")
                            .tag("state", nameOf(state))
                            .register(registry));
        }
    }

    /** Returns reports of this pace whose metrics are registered in the registry. */
    public static PaceReports create(MeterRegistry registry, EventLog log, ReplicaPace pace) {
        Gauge.builder("fescue.pace.held.back", pace, ReplicaPace::heldBack).register(registry);
        return new PaceReports(registry, log);
    }

    @Override
    public void onChange(ReplicaPace.Change change) {
        mChanges.get(change.state()).increment();
        mLog.change("replica-pace")
                .with("replica", change.replica().node())
                .with("life", change.replica().number())
                .with("state", nameOf(change.state()))
                .with("share", change.share())
                .write();
    }

    private static String nameOf(ReplicaPace.State state) {
        return state.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
