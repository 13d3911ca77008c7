package org.fescueport.internal.direct.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fescueport.internal.direct.config.CallerLimits;
import org.fescueport.internal.direct.config.FleetConfiguration;

/** All connections of callers to this node. */
final class CallerConnections {
    private final ForwardingContext mContext;
    private final Set<CallerConnection> mOpen = new HashSet<>();
    private boolean mStopping;

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

    void onOpened(CallerConnection connection) {
        mOpen.add(connection);
    }

    void onClosed(CallerConnection connection) {
        mOpen.remove(connection);
    }

    /** From now on connections end behind the answer under way. */
    void beginStop() {
        mStopping = true;
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
