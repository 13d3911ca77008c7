package org.fescueport.internal.direct.forward;

import java.util.Optional;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.direct.config.Route;

/**
 * The second try of one request: whether it is worth its part of the retry budget, and how it ends.
 * Every second try is worthwhile where no replica reports its speed.
 */
final class SecondTry {
    private final ForwardingContext mContext;
    private final CallerRequest mRequest;
    private final PoolId mPool;
    private final String mKindPrefix;
    private Optional<String> mKind = Optional.empty();

    private SecondTry(
            ForwardingContext context, CallerRequest request, PoolId pool, String kindPrefix) {
        mContext = context;
        mRequest = request;
        mPool = pool;
        mKindPrefix = kindPrefix;
    }

    static SecondTry of(
            ForwardingContext context, CallerRequest request, PoolId pool, Route route) {
        return new SecondTry(context, request, pool, pool + " " + route.name() + " ");
    }

    /** Returns whether requests that were sent again for this reason have lately been answered. */
    boolean isWorthwhile(String reason, long nowNanos) {
        if (!mContext.speeds().isAnyReported()
                || mContext.yields().isWorthwhile(mKindPrefix + reason, nowNanos)) {
            return true;
        }
        mContext.metrics().onRetryWithheld();
        mContext.log()
                .decision("retry-withheld")
                .with("request", mRequest.id())
                .with("reason", reason)
                .write();
        return false;
    }

    /** The request is sent again for this reason. */
    void begin(String reason) {
        if (mContext.speeds().isAnyReported()) {
            mKind = Optional.of(mKindPrefix + reason);
        }
    }

    /** The request has ended; nothing happens if it was not sent again. */
    void onEnded(boolean success) {
        mKind.ifPresent(kind -> mContext.yields().onEnded(kind, success, mContext.nowNanos()));
        mKind = Optional.empty();
    }

    /** Takes one retry from the fleet's budget; returns false if none is left. */
    boolean tryAcquire() {
        boolean taken = mContext.budgets().tryAcquireRetry(mPool);
        if (!taken) {
            mContext.log().decision("retry-budget-empty").with("request", mRequest.id()).write();
        }
        return taken;
    }
}
