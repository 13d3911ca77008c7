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
import org.fescueport.internal.decision.admission.ShutdownAdmission;
import org.fescueport.internal.decision.admission.ShutdownSchedule;
import org.fescueport.internal.direct.config.CallerLimits;
import org.fescueport.internal.direct.config.FleetConfiguration;
import org.fescueport.internal.direct.config.Route;

/** All open connections of callers to this node. */
final class CallerConnections {
    /** Shortest idle time after which a connection may be closed to make room for another. */
    private static final Duration MIN_IDLE_TIME = Duration.ofSeconds(1);

    /** Long enough to process the disconnects that arrived while this process was not running. */
    private static final Duration ACCEPT_PAUSE_TIME = Duration.ofMillis(100);

    /**
     * A pause in which the listener accepts no connections.
     *
     * @param end task that ends the pause
     */
    private record AcceptPause(Channel listener, Future<?> end) {}

    private final ForwardingContext mContext;
    private final Set<CallerConnection> mOpen = new HashSet<>();
    private Optional<AcceptPause> mAcceptPause = Optional.empty();
    private boolean mFullAfterPause;
    private Optional<ShutdownAdmission> mShutdown = Optional.empty();

    CallerConnections(ForwardingContext context) {
        mContext = context;
    }

    /**
     * Returns the limits of the configuration in force, or the default limits while no
     * configuration is known.
     */
    CallerLimits limits() {
        return mContext.view()
                .configuration()
                .map(FleetConfiguration::limits)
                .orElseGet(CallerLimits::defaults);
    }

    /**
     * Adds a connection. If there are then more than the limit allows, the connection that has been
     * idle longest is closed. If none has been idle long enough, the request of the new connection
     * is refused with a Retry-After. Far beyond the limit, the listener also pauses, because many
     * callers may have disconnected without this node having noticed yet. If the limit is still
     * exceeded after the pause, new connections are closed at once, and their callers go to other
     * nodes.
     *
     * @param listener channel that accepted the connection
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

    /**
     * Stops accepting for a moment; callers that connect meanwhile wait in the listen queue of the
     * operating system.
     */
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

    /** Returns whether more connections are open than may be served. */
    boolean isOverLimit() {
        return mContext.quota().isExceededBy(mOpen.size());
    }

    /**
     * Returns the connection that has been idle longest, if any may be closed. On one that has just
     * been sent a response, the next request may already be in transit.
     */
    private Optional<CallerConnection> longestIdle() {
        long now = mContext.nowNanos();
        return mOpen.stream()
                .filter(CallerConnection::isIdle)
                .filter(idle -> !idle.hasUnread())
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
     * Closes each connection after the response in progress from now on, and refuses requests that
     * the end of the process may cut off.
     */
    void beginStop(ShutdownSchedule schedule) {
        mShutdown = Optional.of(ShutdownAdmission.of(schedule));
    }

    /** Ends all requests, as the process is about to end. */
    void onNodeEnding() {
        List.copyOf(mOpen).forEach(CallerConnection::onNodeEnding);
    }

    /**
     * Returns whether this node accepts a request that has been received completely. A node that is
     * not stopping accepts every request.
     */
    boolean admitWhileStopping(CallerRequest request, Route route) {
        if (mShutdown.isEmpty()) {
            return true;
        }
        long now = mContext.nowNanos();
        Duration timeout = RequestClock.timeout(route, request.timeoutMillis());
        Optional<Duration> usual = mContext.responseTimes().usual(route.name());
        var decision = mShutdown.get().decide(timeout, usual, now);
        mContext.metrics().onWhileStopping(decision);
        var schedule = mShutdown.get().schedule();
        mContext.log()
                .decision("while-stopping")
                .with("request", request.id())
                .with("decision", decision)
                .with("route", route.name())
                .with("since_ms", schedule.elapsed(now).toMillis())
                .with("left_ms", schedule.timeLeft(now).toMillis())
                .with("timeout_ms", timeout.toMillis())
                .with("usual_ms", usual.map(Duration::toMillis).orElse(-1L))
                .write();
        return decision != ShutdownAdmission.Decision.REFUSED;
    }

    boolean isStopping() {
        return mShutdown.isPresent();
    }

    boolean isEmpty() {
        return mOpen.isEmpty();
    }

    int size() {
        return mOpen.size();
    }

    /** Checks the timeouts of all requests. */
    void checkTimeouts(long nowNanos) {
        for (var connection : List.copyOf(mOpen)) {
            connection.checkTimeouts(nowNanos);
        }
        mContext.slowReaders().cutExcess(nowNanos);
    }

    /**
     * Closes connections that have been idle, and refuses requests that have been arriving, for too
     * long.
     */
    void sweep(long nowNanos) {
        for (var connection : List.copyOf(mOpen)) {
            connection.sweep(nowNanos, isStopping());
        }
    }
}
