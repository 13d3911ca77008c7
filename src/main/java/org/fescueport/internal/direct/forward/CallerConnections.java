package org.fescueport.internal.direct.forward;

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
     * where none has been idle for a while, the new one is only told when to come back.
     */
    void onOpened(CallerConnection connection) {
        if (mContext.quota().isExceededBy(mOpen.size() + 1)) {
            makeRoomFor(connection);
        }
        mOpen.add(connection);
    }

    private void makeRoomFor(CallerConnection connection) {
        Optional<CallerConnection> idle = longestIdle();
        boolean far = mContext.quota().isFarExceededBy(mOpen.size() + 1);
        mContext.log()
                .decision("too-many-callers")
                .with("open", mOpen.size())
                .with("ends", idle.isPresent() ? "an idle one" : far ? "the new one" : "none")
                .write();
        if (idle.isPresent()) {
            mOpen.remove(idle.get());
            idle.get().close();
        } else if (far) {
            connection.close();
        } else {
            connection.refuseNext();
        }
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
