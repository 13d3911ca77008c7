package org.fescueport.internal.direct.forward;

import io.netty.channel.Channel;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.direct.config.CallerLimits;
import org.fescueport.internal.direct.config.FleetConfiguration;
import org.fescueport.internal.direct.config.Route;

/** All connections of callers to this node. */
final class CallerConnections {
    private static final Duration MIN_IDLE_TIME = Duration.ofSeconds(1);

    /** Enough to read the ends of connections that came while the node did nothing. */
    private static final Duration ACCEPT_PAUSE_TIME = Duration.ofMillis(100);

    /** No connection is taken in from the listener until the end. */
    private record AcceptPause(Channel listener, Future<?> end) {}

    private final ForwardingContext mContext;
    private final Set<CallerConnection> mOpen = new HashSet<>();
    private Optional<AcceptPause> mAcceptPause = Optional.empty();
    private boolean mFullAfterPause;
    private boolean mStopping;
    private long mRefuseFromNanos;
    private long mStopDeadlineNanos;

    CallerConnections(ForwardingContext context) {
        mContext = context;
    }

    /** Returns the limits of the configuration in force. */
    CallerLimits limits() {
        return mContext.view()
                .configuration()
                .map(FleetConfiguration::limits)
                .orElseGet(CallerLimits::defaults);
    }

    /**
     * Takes a connection in. When there are too many, the one that has been idle longest ends;
     * where none has been idle for a while, the new one is only told when to come back. Far beyond
     * the limit no more are taken in for a moment, as many of those here may be gone; where they
     * are not, new ones end at once and their callers go elsewhere.
     *
     * @param listener where the connection came in
     */
    void onOpened(CallerConnection connection, Channel listener) {
        if (mContext.quota().isExceededBy(mOpen.size() + 1)) {
            onLimitExceeded(connection, listener);
        }
        mOpen.add(connection);
    }

    private void onLimitExceeded(CallerConnection connection, Channel listener) {
        Optional<CallerConnection> idle = longestIdle();
        boolean far = mContext.quota().isFarExceededBy(mOpen.size() + 1);
        mContext.log()
                .decision("too-many-callers")
                .with("open", mOpen.size())
                .with("idle_ends", idle.isPresent())
                .with("far", far)
                .with("crowded", mFullAfterPause)
                .write();
        if (idle.isPresent()) {
            end(idle.get());
        } else if (far && mFullAfterPause) {
            connection.close();
        } else {
            connection.markOverLimit();
            if (far) {
                pauseAccepting(listener);
            }
        }
    }

    private void end(CallerConnection connection) {
        mOpen.remove(connection);
        connection.close();
    }

    /** Those that connect meanwhile wait in the system's queue. */
    private void pauseAccepting(Channel listener) {
        if (mAcceptPause.isPresent()) {
            return;
        }
        listener.config().setAutoRead(false);
        var end =
                listener.eventLoop()
                        .schedule(
                                this::onAcceptPauseElapsed,
                                ACCEPT_PAUSE_TIME.toNanos(),
                                TimeUnit.NANOSECONDS);
        mAcceptPause = Optional.of(new AcceptPause(listener, end));
    }

    private void onAcceptPauseElapsed() {
        mFullAfterPause = true;
        resumeAccepting();
    }

    private void resumeAccepting() {
        mAcceptPause.ifPresent(
                pause -> {
                    pause.end().cancel(false);
                    pause.listener().config().setAutoRead(true);
                });
        mAcceptPause = Optional.empty();
    }

    /** Returns whether there are more connections than may be served. */
    boolean isOverLimit() {
        return mContext.quota().isExceededBy(mOpen.size());
    }

    /** On a connection that has just been answered the next request may be under way. */
    private Optional<CallerConnection> longestIdle() {
        long now = mContext.nowNanos();
        return mOpen.stream()
                .filter(CallerConnection::isIdle)
                .filter(idle -> idle.nanosInState(now) > MIN_IDLE_TIME.toNanos())
                .max(Comparator.comparingLong(idle -> idle.nanosInState(now)));
    }

    void onClosed(CallerConnection connection) {
        mOpen.remove(connection);
        if (!isOverLimit()) {
            mFullAfterPause = false;
            resumeAccepting();
        }
    }

    /**
     * From now on connections end behind the answer under way.
     *
     * @param refuseFromNanos from when on callers should have been sent elsewhere
     * @param stopDeadlineNanos when the process ends
     */
    void beginStop(long refuseFromNanos, long stopDeadlineNanos) {
        mStopping = true;
        mRefuseFromNanos = refuseFromNanos;
        mStopDeadlineNanos = stopDeadlineNanos;
    }

    /** Returns whether a request that comes now may be cut by the end of the process. */
    boolean mayBeCutByStop(Route route, long nowNanos) {
        long left = mStopDeadlineNanos - nowNanos;
        return mStopping && nowNanos - mRefuseFromNanos >= 0 && left < route.timeout().toNanos();
    }

    boolean isStopping() {
        return mStopping;
    }

    boolean isEmpty() {
        return mOpen.isEmpty();
    }

    int size() {
        return mOpen.size();
    }

    /** Looks after the times of all requests. */
    void checkTimeouts(long nowNanos) {
        for (var connection : List.copyOf(mOpen)) {
            connection.checkTimeouts(nowNanos);
        }
    }

    /** Closes what has been idle for too long. */
    void sweep(long nowNanos) {
        for (var connection : List.copyOf(mOpen)) {
            connection.sweep(nowNanos, mStopping);
        }
    }
}
