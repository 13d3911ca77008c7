package org.fescueport.internal.direct.forward;

import java.time.Duration;
import org.fescueport.internal.decision.Mechanism;
import org.fescueport.internal.direct.config.Route;

/**
 * Detects that a replica has fallen silent, and, where replicas report their speed, that a stream
 * has stalled at a replica that still works on others.
 */
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

    /**
     * Returns whether a replica has been silent for so long that a repeatable request is sent to
     * another one.
     *
     * @param started whether part of the response has been sent to the caller
     */
    boolean isReplicaSilent(Attempt attempt, boolean started, long nowNanos) {
        if (!mContext.mechanisms().isEnabled(Mechanism.MOVING_ON)
                || !mRoute.kind().isRepeatable()) {
            return false;
        }
        Duration limit = mRequestClock.silenceLimit(mRoute.kind(), started);
        if (!mRoute.kind().isStream()) {
            return nowNanos - attempt.startNanos() > limit.toNanos();
        }
        return mContext.health()
                .isSilent(attempt.replica().id(), attempt.startNanos(), limit, nowNanos);
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
