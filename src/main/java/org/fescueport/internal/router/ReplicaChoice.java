package org.fescueport.internal.router;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.Outcome;
import org.fescueport.internal.decision.placement.PlacementResult;
import org.fescueport.internal.decision.placement.Refusals;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.placement.ReplicaFilter;
import org.fescueport.internal.decision.placement.ReplicaSet;
import org.fescueport.internal.decision.retry.FailedAttempt;
import org.fescueport.internal.decision.retry.RetryDecision;

/** Chooses the replicas of one request in turn, and whether there is a next one. */
final class ReplicaChoice {
    private final RouterContext mContext;
    private final CallerRequest mRequest;
    private final Set<NodeId> mTried = new HashSet<>();
    private Refusals mRefusals = Refusals.none();
    private int mAttempts;

    private ReplicaChoice(RouterContext context, CallerRequest request) {
        mContext = context;
        mRequest = request;
    }

    static ReplicaChoice of(RouterContext context, CallerRequest request) {
        return new ReplicaChoice(context, request);
    }

    /** Returns the replica for the next attempt, or why there is none. */
    PlacementResult next() {
        var set = mContext.membership().replicas(mRequest.pool());
        ReplicaFilter untried = replica -> !mTried.contains(replica.node());
        var health = mContext.health().of(mRequest.pool(), set);
        var choice = choose(set, untried.and(health.filter(mRequest.id().low(), now())));
        if (choice instanceof PlacementResult.NoReplica) {
            // One that failed lately is better than none.
            choice = choose(set, untried);
        }
        if (choice instanceof PlacementResult.Chosen chosen) {
            mContext.counters().onChoice(chosen.reason());
        }
        return choice;
    }

    /** Notes an attempt at a replica; it is chosen again only when all others refuse. */
    void onAttempt(Replica replica) {
        mAttempts++;
        mTried.add(replica.node());
    }

    /** Notes that a replica refused the request for its load. */
    void onRefused(Replica replica, long loadTokens, long retryAfterMillis) {
        mRefusals = mRefusals.with(replica.node(), loadTokens, retryAfterMillis);
    }

    /** Decides after an attempt that gave no answer. */
    RetryDecision after(Outcome outcome, String reason) {
        long leftNanos = mRequest.deadlineNanos() - now();
        var failed =
                new FailedAttempt(
                        mAttempts,
                        outcome,
                        Reasons.isBusy(reason),
                        mRequest.isRepeatable(),
                        TimeUnit.NANOSECONDS.toMillis(leftNanos));
        return mContext.retries().after(failed);
    }

    private PlacementResult choose(ReplicaSet set, ReplicaFilter filter) {
        return mContext.placement()
                .choose(
                        set,
                        PlacementRequests.of(mRequest, mContext.tokens()).withRefusals(mRefusals),
                        PlacementRequests.boundOf(mRequest),
                        mContext.membership().loads(mRequest.pool()),
                        filter,
                        now());
    }

    private long now() {
        return mContext.clock().monotonicTime();
    }
}
