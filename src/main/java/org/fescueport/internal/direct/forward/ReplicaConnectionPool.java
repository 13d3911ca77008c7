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
    /** Time for which an idle connection is used where the replica does not say how long it may. */
    private static final Duration DEFAULT_IDLE_TIMEOUT = Duration.ofSeconds(4);

    /** Taken off what the replica says, for requests that cross its closing. */
    private static final Duration IDLE_MARGIN = Duration.ofMillis(400);

    private static final double MAX_IDLE_FRACTION = 0.9;

    /** Requests that may run once use only connections that are surely not being closed. */
    private static final double NON_REPEATABLE_MAX_IDLE_FRACTION = 0.5;

    private final ReplicaConnectionPools mPools;
    private final ReplicaEntry mReplica;
    private final Deque<ReplicaConnection> mIdle = new ArrayDeque<>();
    private final Set<ReplicaConnection> mOpen = new HashSet<>();

    ReplicaConnectionPool(ReplicaConnectionPools pools, ReplicaEntry replica) {
        mPools = pools;
        mReplica = replica;
    }

    ReplicaEntry replica() {
        return mReplica;
    }

    /**
     * Sends a request on an idle connection, or on a new one.
     *
     * @param nonRepeatable whether the request may run once at most
     * @param maxConnections of this node to the replica
     */
    void send(
            FullHttpRequest message,
            String requestId,
            boolean nonRepeatable,
            int maxConnections,
            ResponseListener listener) {
        ReplicaConnection idle =
                takeIdle(nonRepeatable ? NON_REPEATABLE_MAX_IDLE_FRACTION : MAX_IDLE_FRACTION);
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

    /** Closes the idle connections whose time is over. */
    void sweep() {
        long now = nowNanos();
        while (!mIdle.isEmpty() && mIdle.peekLast().idleFraction(now) >= MAX_IDLE_FRACTION) {
            mIdle.peekLast().close();
        }
    }

    /** Closes the idle connections; requests under way go on. */
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

    void onIdle(ReplicaConnection connection) {
        mIdle.addFirst(connection);
    }

    long nowNanos() {
        return mPools.nowNanos();
    }

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
            // The first one has been idle for the shortest time; no other one is younger.
            return newest.idleFraction(now) < part ? mIdle.pollFirst() : null;
        }
        return null;
    }
}
