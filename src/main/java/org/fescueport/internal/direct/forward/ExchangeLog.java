package org.fescueport.internal.direct.forward;

import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.admission.AdmissionDecision;
import org.fescueport.internal.direct.config.Team;
import org.fescueport.internal.direct.forward.ForwardingMetrics.End;
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

    /** The request has ended. */
    void ended(End end, String reason, Resolution.Accepted accepted, int sends) {
        mContext.log()
                .decision("ended")
                .with("request", mRequest.id())
                .with("end", end)
                .with("reason", reason)
                .with("route", accepted.route().name())
                .with("team", accepted.team().map(Team::id).map(TeamId::name).orElse(""))
                .with("version", accepted.configuration().version())
                .with("sends", sends)
                .with("ms", mRequestClock.elapsedNanos() / 1_000_000)
                .write();
    }

    /** This node failed in a way that it does not know. */
    void unexpected(RuntimeException failure) {
        mContext.log()
                .decision("unexpected-failure")
                .with("request", mRequest.id())
                .with("reason", failure)
                .write();
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
