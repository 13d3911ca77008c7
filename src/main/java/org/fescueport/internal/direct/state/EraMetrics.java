package org.fescueport.internal.direct.state;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;

/** Exports the newest known era of the store, and the number of calls that new eras have caused. */
public final class EraMetrics {
    private EraMetrics() {}

    /** Registers the metrics of a tracker. */
    public static void register(MeterRegistry registry, EraTracker eras) {
        Gauge.builder("fescue.store.era", eras, EraTracker::current).register(registry);
        FunctionCounter.builder("fescue.store.calls.after.era", eras, EraTracker::callsAfterChange)
                .register(registry);
    }
}
