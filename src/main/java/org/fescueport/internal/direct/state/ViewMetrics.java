package org.fescueport.internal.direct.state;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;

/** Exports how many records of the store could not be used. */
public final class ViewMetrics {
    private ViewMetrics() {}

    /** Registers the metrics of a view. */
    public static void register(MeterRegistry registry, FleetView view) {
        FunctionCounter.builder("fescue.unusable.replicas", view, FleetView::unusableReplicas)
                .register(registry);
        FunctionCounter.builder(
                        "fescue.unusable.configurations", view, FleetView::unusableConfigurations)
                .register(registry);
        FunctionCounter.builder("fescue.unusable.memories", view, FleetView::unusableMemories)
                .register(registry);
    }
}
