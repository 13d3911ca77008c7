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
    private static final Duration LEAST_IDLE = Duration.ofSeconds(1);

    /** Enough to read the ends of connections that came while the node did nothing. */
    private static final Duration PAUSE = Duration.ofMillis(100);

    /** No connection is taken in from the listener until the end. */
    private record Pause(Channel listener, Future<?> end) {}

    private final ForwardingContext mContext;
    private final Set<CallerConnection> mOpen = new HashSet<>();
    private Optional<Pause> mPause = Optional.empty();
    private boolean mCrowded;
    private boolean mStopping;
    private long mLateNanos;
    private long mEndNanos;

    CallerConnections(ForwardingContext context) {
        mContext = context;
    }

    /** Returns the limits of the configuration in force. */
    CallerLimits limits() {
        return mContext.view()
                .configuration()
                .map(FleetConfiguration::limits)
                .orElseGet(CallerLimits::standard);
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
            makeRoomFor(connection, listener);
        }
        mOpen.add(connection);
    }

    private void makeRoomFor(CallerConnection connection, Channel listener) {
        Optional<CallerConnection> idle = longestIdle();
        boolean far = mContext.quota().isFarExceededBy(mOpen.size() + 1);
        mContext.log()
                .decision("too-many-callers")
                .with("open", mOpen.size())
                .with("idle_ends", idle.isPresent())
                .with("far", far)
                .with("crowded", mCrowded)
                .write();
        if (idle.isPresent()) {
            end(idle.get());
        } else if (far && mCrowded) {
            connection.close();
        } else {
            connection.markSurplus();
            if (far) {
                pause(listener);
            }
        }
    }

    private void end(CallerConnection connection) {
        mOpen.remove(connection);
        connection.close();
    }

    /** Those that connect meanwhile wait in the system's queue. */
    private void pause(Channel listener) {
        if (mPause.isPresent()) {
            return;
        }
        listener.config().setAutoRead(false);
        var end =
                listener.eventLoop()
                        .schedule(this::onStillFull, PAUSE.toNanos(), TimeUnit.NANOSECONDS);
        mPause = Optional.of(new Pause(listener, end));
    }

    private void onStillFull() {
        mCrowded = true;
        endPause();
    }

    private void endPause() {
        mPause.ifPresent(
                pause -> {
                    pause.end().cancel(false);
                    pause.listener().config().setAutoRead(true);
                });
        mPause = Optional.empty();
    }

    /** Returns whether there are more connections than may be served. */
    boolean isFull() {
        return mContext.quota().isExceededBy(mOpen.size());
    }

    /** On a connection that has just been answered the next request may be under way. */
    private Optional<CallerConnection> longestIdle() {
        long now = mContext.nowNanos();
        return mOpen.stream()
                .filter(CallerConnection::isIdle)
                .filter(idle -> idle.waitedNanos(now) > LEAST_IDLE.toNanos())
                .max(Comparator.comparingLong(idle -> idle.waitedNanos(now)));
    }

    void onClosed(CallerConnection connection) {
        mOpen.remove(connection);
        if (!isFull()) {
            mCrowded = false;
            endPause();
        }
    }

    /**
     * From now on connections end behind the answer under way.
     *
     * @param lateNanos from when on callers should have been sent elsewhere
     * @param endNanos when the process ends
     */
    void beginStop(long lateNanos, long endNanos) {
        mStopping = true;
        mLateNanos = lateNanos;
        mEndNanos = endNanos;
    }

    /** Returns whether a request that comes now may be cut by the end of the process. */
    boolean isTooLateFor(Route route, long nowNanos) {
        long left = mEndNanos - nowNanos;
        return mStopping && nowNanos - mLateNanos >= 0 && left < route.timeout().toNanos();
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
    void check(long nowNanos) {
        for (var connection : List.copyOf(mOpen)) {
            connection.check(nowNanos);
        }
    }

    /** Closes what has been idle for too long. */
    void sweep(long nowNanos) {
        for (var connection : List.copyOf(mOpen)) {
            connection.sweep(nowNanos, mStopping);
        }
    }
}
