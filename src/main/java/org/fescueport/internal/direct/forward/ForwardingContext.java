package org.fescueport.internal.direct.forward;

import io.micrometer.core.instrument.Clock;
import java.util.random.RandomGenerator;
import org.fescueport.internal.decision.Mechanisms;
import org.fescueport.internal.decision.admission.ResponseTimes;
import org.fescueport.internal.decision.placement.ReplicaLoads;
import org.fescueport.internal.decision.placement.ReplicaNotices;
import org.fescueport.internal.decision.placement.ReplicaSpeeds;
import org.fescueport.internal.direct.log.EventLog;
import org.fescueport.internal.direct.place.CrashingRequestDetector;
import org.fescueport.internal.direct.place.ReplicaChooser;
import org.fescueport.internal.direct.place.ReplicaLiveness;
import org.fescueport.internal.direct.place.RetryBudgets;
import org.fescueport.internal.direct.place.RetryYields;
import org.fescueport.internal.direct.state.FleetView;

/** The components that forward requests; there is one instance per process. */
public record ForwardingContext(
        Clock clock,
        FleetView view,
        WireProtocol protocol,
        ReplicaConnectionPools connectionPools,
        ReplicaChooser chooser,
        ReplicaLoads loads,
        ReplicaSpeeds speeds,
        ReplicaNotices notices,
        ReplicaLiveness health,
        AdmissionControl admissionControl,
        RetryBudgets budgets,
        RetryYields yields,
        CrashingRequestDetector crashes,
        CrashCheck crashCheck,
        CallerQuota quota,
        SlowReaderBudget slowReaders,
        ForwardingMetrics metrics,
        ResponseTimes responseTimes,
        EventLog log,
        Mechanisms mechanisms,
        RandomGenerator random) {
    /** Returns the monotonic time. */
    public long nowNanos() {
        return clock.monotonicTime();
    }
}
