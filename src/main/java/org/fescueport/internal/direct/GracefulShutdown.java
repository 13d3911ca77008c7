package org.fescueport.internal.direct;

import io.micrometer.core.instrument.Clock;
import io.netty.channel.Channel;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.fescueport.internal.decision.admission.LoadBalancerTimes;
import org.fescueport.internal.decision.admission.ShutdownSchedule;
import org.fescueport.internal.direct.forward.Forwarder;
import org.fescueport.internal.direct.log.EventLog;

/**
 * Ends the service of callers by a {@link ShutdownSchedule}: once no caller is connected any more,
 * and at its last time in any case. Used by the event loop alone.
 */
final class GracefulShutdown {
    private final Forwarder mForwarder;
    private final Clock mClock;
    private final EventLog mLog;
    private final CompletableFuture<Void> mFinished = new CompletableFuture<>();
    private Optional<ShutdownSchedule> mSchedule = Optional.empty();
    private boolean mEnding;

    GracefulShutdown(Forwarder forwarder, Clock clock, EventLog log) {
        mForwarder = forwarder;
        mClock = clock;
        mLog = log;
    }

    /**
     * Begins the shutdown; later calls have no effect.
     *
     * @param startNanos when the node was told to stop
     * @param killTime time from then until the process is killed
     */
    void begin(long startNanos, LoadBalancerTimes balancer, Duration killTime) {
        if (isBegun()) {
            return;
        }
        var schedule = ShutdownSchedule.of(startNanos, balancer, killTime);
        mSchedule = Optional.of(schedule);
        mLog.change("stopping").with("connections", mForwarder.connections()).write();
        mForwarder.beginStop(schedule);
    }

    boolean isBegun() {
        return mSchedule.isPresent();
    }

    /** Completes when callers are no longer served. */
    CompletableFuture<Void> finished() {
        return mFinished;
    }

    /**
     * Ends at the last time of the schedule. Must be called every few tens of milliseconds; the
     * shutdown finishes at a later call, so that the last responses are sent.
     */
    void check(Channel listener) {
        if (mEnding) {
            finish();
        } else if (mSchedule.isPresent() && isAfter(mSchedule.get().endNanos())) {
            mEnding = true;
            listener.close();
            mForwarder.onNodeEnding();
        }
    }

    /** Ends early if no caller is connected. Must be called a few times a second. */
    void finishIfIdle(Channel listener) {
        boolean mayEnd = mSchedule.isPresent() && isAfter(mSchedule.get().idleEndNanos());
        if (!mayEnd || !mForwarder.isIdle()) {
            return;
        }
        if (listener.isOpen()) {
            // Connections accepted until now are served before a later call finishes.
            listener.close();
        } else {
            finish();
        }
    }

    private boolean isAfter(long nanos) {
        return mClock.monotonicTime() - nanos > 0;
    }

    private void finish() {
        if (mFinished.isDone()) {
            return;
        }
        mLog.change("stopped")
                .with("connections", mForwarder.connections())
                .with("ms", mSchedule.orElseThrow().elapsed(mClock.monotonicTime()).toMillis())
                .write();
        mFinished.complete(null);
    }
}
