package org.fescueport.internal.direct.forward;

import io.netty.channel.Channel;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.fescueport.internal.direct.config.CallerLimits;
import org.fescueport.internal.direct.config.FleetConfiguration;
import org.fescueport.internal.direct.config.Route;

/** All connections of callers to this node. */
final class CallerConnections {
    private static final Duration LEAST_IDLE = Duration.ofSeconds(1);

    private final ForwardingContext mContext;
    private final Set<CallerConnection> mOpen = new HashSet<>();
    private Optional<Channel> mPaused = Optional.empty();
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
     * where none has been idle for a while, the new one is only told when to come back, and far
     * beyond the limit no more are taken in for now.
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
                .with("takes_more", idle.isPresent() || !far)
                .write();
        if (idle.isPresent()) {
            end(idle.get());
            return;
        }
        connection.markSurplus();
        if (far) {
            pause(listener);
        }
    }

    private void end(CallerConnection connection) {
        mOpen.remove(connection);
        connection.close();
    }

    /** Those that connect meanwhile wait in the system's queue; many of those here may be gone. */
    private void pause(Channel listener) {
        listener.config().setAutoRead(false);
        mPaused = Optional.of(listener);
    }

    private void makeRoomForThoseThatWait() {
        for (var idle = longestIdle(); isFull() && idle.isPresent(); idle = longestIdle()) {
            end(idle.get());
        }
        takeMoreAgain();
    }

    private void takeMoreAgain() {
        if (mPaused.isPresent() && !isFull()) {
            mPaused.get().config().setAutoRead(true);
            mPaused = Optional.empty();
        }
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
        takeMoreAgain();
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
        if (mPaused.isPresent()) {
            makeRoomForThoseThatWait();
        }
    }
}
