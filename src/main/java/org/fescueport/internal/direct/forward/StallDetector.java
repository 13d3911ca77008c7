package org.fescueport.internal.direct.forward;

import org.fescueport.internal.decision.Mechanism;
import org.fescueport.internal.direct.config.Route;

/** Detects that a stream has stalled at its replica, where replicas report their speed. */
final class StallDetector {
    private final ForwardingContext mContext;
    private final Route mRoute;
    private final RequestClock mRequestClock;

    private StallDetector(ForwardingContext context, Route route, RequestClock requestClock) {
        mContext = context;
        mRoute = route;
        mRequestClock = requestClock;
    }

    static StallDetector of(ForwardingContext context, Route route, RequestClock requestClock) {
        return new StallDetector(context, route, requestClock);
    }

    /** Returns whether the next event of the stream is overdue. */
    boolean isStalled(Attempt attempt, long nowNanos) {
        if (!mContext.speeds().isAnyReported()
                || !mContext.mechanisms().isEnabled(Mechanism.MOVING_ON)
                || !mRoute.kind().isStream()) {
            return false;
        }
        if (attempt.hasEvent()) {
            long since = nowNanos - attempt.lastEventNanos();
            return mRequestClock.stallLimit().filter(l -> since >= l.toNanos()).isPresent();
        }
        long sent = attempt.startNanos();
        var replica = attempt.replica().id();
        return nowNanos - sent >= mRequestClock.firstEventLimit().toNanos()
                && mRequestClock
                        .replicaSilenceLimit()
                        .filter(l -> mContext.health().isSilent(replica, sent, l, nowNanos))
                        .isPresent();
    }
}
