package org.fescueport.internal.http;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The requests of a server that have begun to arrive and are not whole yet. */
final class ArrivingRequests {
    /** A request of which more has to come. */
    interface Arrival {
        /** Returns when its first bytes came. */
        long sinceNanos();

        /** Returns the connection that it comes over, or null when that is closed. */
        OpenConnections.Connection connection();

        /** Answers that it took too long; harmless when it is whole by now. */
        void cutOff();
    }

    private final Set<Arrival> mArrivals = ConcurrentHashMap.newKeySet();

    void add(Arrival arrival) {
        mArrivals.add(arrival);
    }

    void remove(Arrival arrival) {
        mArrivals.remove(arrival);
    }

    /** Cuts off what takes longer than the limit and returns the connections of the others. */
    Set<OpenConnections.Connection> cutOffLate(long limitNanos, long nowNanos) {
        Set<OpenConnections.Connection> arriving = new HashSet<>();
        for (Arrival arrival : mArrivals) {
            OpenConnections.Connection connection = arrival.connection();
            if (connection == null) {
                mArrivals.remove(arrival);
            } else if (nowNanos - arrival.sinceNanos() >= limitNanos) {
                mArrivals.remove(arrival);
                arrival.cutOff();
            } else {
                arriving.add(connection);
            }
        }
        return arriving;
    }
}
