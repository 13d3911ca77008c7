package org.fescueport.internal.direct.state;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;

/** Tells in the metrics which era of the store is known, and what a new one has cost. */
public final class EraMetrics {
    private EraMetrics() {}

    /** Adds the meters of this watch to a registry. */
    public static void register(MeterRegistry registry, EraTracker eras) {
        Gauge.builder("fescue.store.era", eras, EraTracker::current).register(registry);
        FunctionCounter.builder("fescue.store.calls.after.era", eras, EraTracker::callsAfterChange)
                .register(registry);
    }
}
