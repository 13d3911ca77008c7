package org.fescueport.internal.direct.forward;

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

    /** Takes a connection in; when there are too many, the one that has been idle longest ends. */
    void onOpened(CallerConnection connection) {
        if (mContext.quota().isExceededBy(mOpen.size() + 1)) {
            Optional<CallerConnection> idle = longestIdle();
            mContext.log()
                    .decision("too-many-callers")
                    .with("open", mOpen.size())
                    .with("ends", idle.isPresent() ? "an idle one" : "the new one")
                    .write();
            idle.orElse(connection).close();
        }
        mOpen.add(connection);
    }

    private Optional<CallerConnection> longestIdle() {
        long now = mContext.nowNanos();
        return mOpen.stream()
                .filter(CallerConnection::isIdle)
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
