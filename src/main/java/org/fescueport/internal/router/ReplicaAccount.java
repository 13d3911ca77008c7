package org.fescueport.internal.router;

import org.fescueport.internal.decision.Outcome;
import org.fescueport.internal.decision.ejection.OutlierEjection;
import org.fescueport.internal.decision.placement.LoadEstimator;
import org.fescueport.internal.decision.placement.LoadReport;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.wire.generated.Load;

/** What one attempt tells of its replica: its load for placing, its health for ejection. */
final class ReplicaAccount {
    private final RouterContext mContext;
    private final CallerRequest mRequest;
    private final Replica mReplica;
    private final long mTokens;
    private boolean mIsReported;

    private ReplicaAccount(RouterContext context, CallerRequest request, Replica replica) {
        mContext = context;
        mRequest = request;
        mReplica = replica;
        mTokens = PlacementRequests.tokensOf(request);
    }

    /** Returns the account of a request that has not been sent there yet. */
    static ReplicaAccount of(RouterContext context, CallerRequest request, Replica replica) {
        return new ReplicaAccount(context, request, replica);
    }

    void onSent() {
        loads().onSent(mReplica.node(), mTokens);
    }

    /** The replica works on the request no longer, or its agent cannot tell. */
    void onLost() {
        loads().onLost(mReplica.node(), mIsReported ? 0 : mTokens);
    }

    /** Takes in the load that the agent has told, which includes this request. */
    void onReport(Load load) {
        var report =
                new LoadReport(
                        load.getOutstandingTokens(),
                        load.getMeanTokens(),
                        load.getTokensPerSecond());
        loads().onReport(mReplica.node(), report, mIsReported ? 0 : mTokens, now());
        mIsReported = true;
    }

    /** Takes in how the attempt ended; a refusal of a sound server is no failure. */
    void onEnded(Outcome outcome, String reason) {
        boolean refused = outcome == Outcome.NOT_RUN && !Reasons.isBackendFailure(reason);
        if (outcome == Outcome.COMPLETED || refused) {
            health().onSuccess(mReplica.node(), now());
        } else {
            onFailure();
        }
    }

    void onFailure() {
        health().onFailure(mReplica.node(), now());
    }

    private LoadEstimator loads() {
        return mContext.membership().loads(mRequest.pool());
    }

    private OutlierEjection health() {
        var set = mContext.membership().replicas(mRequest.pool());
        return mContext.health().of(mRequest.pool(), set);
    }

    private long now() {
        return mContext.clock().monotonicTime();
    }
}
