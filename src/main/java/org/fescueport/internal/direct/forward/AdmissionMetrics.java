package org.fescueport.internal.direct.forward;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import org.fescueport.internal.decision.admission.AdmissionDecision;
import org.fescueport.internal.decision.share.NodeShare;

/** Counts the decisions of admission, and shows how this node's limits approach its share. */
public final class AdmissionMetrics {
    private final Counter mAdmitted;
    private final Counter mQueued;
    private final Counter mRefused;
    private final Counter mDropped;
    private double mLimitFactor = 1;

    private AdmissionMetrics(MeterRegistry registry) {
        mAdmitted = decisions(registry, "admitted");
        mQueued = decisions(registry, "queued");
        mRefused = decisions(registry, "refused");
        mDropped = decisions(registry, "dropped");
        Gauge.builder("fescue.admission.share.factor", this, metrics -> metrics.mLimitFactor)
                .strongReference(true)
                .register(registry);
    }

    /** Returns metrics that are registered in this registry. */
    public static AdmissionMetrics create(MeterRegistry registry) {
        return new AdmissionMetrics(registry);
    }

    void onDecision(AdmissionDecision decision) {
        switch (decision) {
            case AdmissionDecision.Admitted admitted -> mAdmitted.increment();
            case AdmissionDecision.Queued queued -> mQueued.increment();
            case AdmissionDecision.Refused refused -> mRefused.increment();
        }
    }

    /** Counts a request that was queued and can no longer be served in time. */
    void onDropped() {
        mDropped.increment();
    }

    void onShare(NodeShare share) {
        mLimitFactor = share.limitFactor();
    }

    private static Counter decisions(MeterRegistry registry, String decision) {
        return Counter.builder("fescue.admission").tag("decision", decision).register(registry);
    }
}
