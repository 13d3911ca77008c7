package org.fescueport.internal.direct.forward;

import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.admission.AdmissionDecision;
import org.fescueport.internal.direct.log.LogLine;
import org.fescueport.internal.direct.place.ReplicaChooser;

/** Writes the log lines about one request that is being forwarded. */
final class ExchangeLog {
    private final ForwardingContext mContext;
    private final CallerRequest mRequest;
    private final RequestClock mRequestClock;

    ExchangeLog(ForwardingContext context, CallerRequest request, RequestClock requestClock) {
        mContext = context;
        mRequest = request;
        mRequestClock = requestClock;
    }

    /** The request waits for capacity of its pool. */
    void queued(PoolId pool, AdmissionDecision.Queued queued) {
        mContext.log()
                .decision("waiting")
                .with("request", mRequest.id())
                .with("pool", pool)
                .with("expected_ms", queued.expectedWaitMillis())
                .with("waiting", mContext.admissionControl().waiting())
                .with("left_ms", mRequestClock.remainingMillis())
                .write();
    }

    /** The request is sent to a replica. */
    void sent(ReplicaChooser.Selection chosen, Attempt attempt, String reason) {
        String holder = chosen.cacheHolder().map(r -> r.id().name()).orElse("");
        var replica = attempt.replica();
        var line = line("sent", attempt, reason).with("cache_holder", holder);
        if (mContext.speeds().isAnyReported()) {
            line.with("slowness", mContext.speeds().slowness(replica.pool(), replica.id()));
        }
        line.write();
    }

    /** Something happened to an attempt. */
    void attempt(String event, Attempt attempt, String reason) {
        line(event, attempt, reason).write();
    }

    private LogLine line(String event, Attempt attempt, String reason) {
        long now = mContext.nowNanos();
        return mContext.log()
                .decision(event)
                .with("request", mRequest.id())
                .with("replica", attempt.replica().id())
                .with("send", attempt.number())
                .with("reason", reason)
                .with("prefix", mRequest.prompt().sharedPart())
                .with("held", mContext.loads().placementLoad(attempt.replica().id(), now))
                .with("left_ms", mRequestClock.remainingMillis());
    }
}
