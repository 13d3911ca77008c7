package org.fescueport.internal.direct.state;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;

/** Tells in the metrics which era of the store is known, and what a new one has cost. */
public final class EraMeters {
    private EraMeters() {}

    /** Adds the meters of this watch to a registry. */
    public static void register(MeterRegistry registry, EraWatch eras) {
        Gauge.builder("fescue.store.era", eras, EraWatch::current).register(registry);
        FunctionCounter.builder("fescue.store.calls.after.era", eras, EraWatch::callsAfterChange)
                .register(registry);
    }
}
