package org.fescueport.internal.direct.forward;

import io.netty.handler.codec.http.FullHttpRequest;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.fescueport.internal.direct.state.ReplicaEntry;

/** The connections of this node to one replica. */
final class ReplicaConnectionPool {
    /** Idle timeout that is assumed for a replica that does not announce one. */
    private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(4);

    /**
     * Subtracted from the replica's idle timeout, because a request in transit may cross the
     * replica's closing of the connection.
     */
    private static final Duration IDLE_MARGIN = Duration.ofMillis(400);

    /** Idle connections are used and kept up to this fraction of their idle timeout. */
    private static final double MAX_IDLE_FRACTION = 0.9;

    /** Which idle connections a request may be sent on. */
    enum Reuse {
        /** All that are kept. */
        ANY(MAX_IDLE_FRACTION),

        /**
         * Those that the replica is certainly not closing at the time, for requests that must not
         * be sent twice.
         */
        RECENT(0.5),

        /**
         * None, for a request that the replica has answered before: its id does not tell an earlier
         * response from that to the new attempt.
         */
        NONE(0);

        private final double mMaxIdleFraction;

        Reuse(double maxIdleFraction) {
            mMaxIdleFraction = maxIdleFraction;
        }
    }

    private final ReplicaConnectionPools mPools;
    private final ReplicaEntry mReplica;
    private final Deque<ReplicaConnection> mIdle = new ArrayDeque<>();
    private final Set<ReplicaConnection> mOpen = new HashSet<>();
    private int mMaxConnections = Integer.MAX_VALUE;

    ReplicaConnectionPool(ReplicaConnectionPools pools, ReplicaEntry replica) {
        mPools = pools;
        mReplica = replica;
    }

    ReplicaEntry replica() {
        return mReplica;
    }

    /**
     * Sends a request on an idle connection, or on a new one. Takes ownership of the message.
     *
     * @param reuse which idle connections may be used
     * @param maxConnections largest number of connections from this node to the replica; the
     *     request is not sent if all are in use
     */
    void send(
            FullHttpRequest message,
            String requestId,
            Reuse reuse,
            int maxConnections,
            ResponseListener listener) {
        mMaxConnections = maxConnections;
        ReplicaConnection idle = takeIdle(reuse.mMaxIdleFraction);
        if (idle != null) {
            idle.send(message, requestId, listener);
            return;
        }
        if (mOpen.size() >= maxConnections) {
            message.release();
            listener.onNotSent("all " + maxConnections + " connections are in use");
            return;
        }
        mPools.connect(this, message, requestId, listener);
    }

    /** Closes the connections that have been idle for too long. */
    void sweep() {
        long now = nowNanos();
        while (!mIdle.isEmpty() && mIdle.peekLast().idleFraction(now) >= MAX_IDLE_FRACTION) {
            mIdle.peekLast().close();
        }
    }

    /** Closes the idle connections; requests in progress continue. */
    void closeIdle() {
        while (!mIdle.isEmpty()) {
            mIdle.peekLast().close();
        }
    }

    boolean hasNoConnections() {
        return mOpen.isEmpty();
    }

    void onOpening(ReplicaConnection connection) {
        mOpen.add(connection);
    }

    void onClosing(ReplicaConnection connection) {
        mOpen.remove(connection);
        mIdle.remove(connection);
    }

    /** Keeps a connection for later requests, or closes it if all nodes would keep too many. */
    void onIdle(ReplicaConnection connection) {
        if (mPools.mayKeepIdle(mIdle.size(), mMaxConnections)) {
            mIdle.addFirst(connection);
        } else {
            connection.close();
        }
    }

    long nowNanos() {
        return mPools.nowNanos();
    }

    /**
     * Returns how long an idle connection is usable, in nanoseconds.
     *
     * @param announced idle timeout that the replica announced, if any
     */
    long idleLimitNanos(Optional<Duration> announced) {
        Duration limit = announced.orElse(DEFAULT_IDLE_TIMEOUT);
        return Math.max(1, limit.minus(IDLE_MARGIN).toNanos());
    }

    private ReplicaConnection takeIdle(double part) {
        long now = nowNanos();
        while (!mIdle.isEmpty()) {
            ReplicaConnection newest = mIdle.peekFirst();
            if (!newest.isActive()) {
                newest.close();
                continue;
            }
            // The first connection has been idle for the shortest time: if it is too old, all
            // others are too.
            return newest.idleFraction(now) < part ? mIdle.pollFirst() : null;
        }
        return null;
    }
}
