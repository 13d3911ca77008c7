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
final class ReplicaLink {
    /** Time for which an idle connection is used where the replica does not say how long it may. */
    private static final Duration STANDARD_IDLE = Duration.ofSeconds(4);

    /** Taken off what the replica says, for requests that cross its closing. */
    private static final Duration IDLE_MARGIN = Duration.ofMillis(400);

    private static final double ANY_IDLE_PART = 0.9;

    /** Requests that may run once use only connections that are surely not being closed. */
    private static final double SAFE_IDLE_PART = 0.5;

    private final ReplicaLinks mLinks;
    private final ReplicaEntry mReplica;
    private final Deque<ReplicaConnection> mIdle = new ArrayDeque<>();
    private final Set<ReplicaConnection> mOpen = new HashSet<>();

    ReplicaLink(ReplicaLinks links, ReplicaEntry replica) {
        mLinks = links;
        mReplica = replica;
    }

    ReplicaEntry replica() {
        return mReplica;
    }

    /**
     * Sends a request on an idle connection, or on a new one.
     *
     * @param once whether the request may run once at most
     * @param maxConnections of this node to the replica
     */
    void send(
            FullHttpRequest message,
            String requestId,
            boolean once,
            int maxConnections,
            AnswerListener listener) {
        ReplicaConnection idle = takeIdle(once ? SAFE_IDLE_PART : ANY_IDLE_PART);
        if (idle != null) {
            idle.send(message, requestId, listener);
            return;
        }
        if (mOpen.size() >= maxConnections) {
            message.release();
            listener.onNotSent("all " + maxConnections + " connections are in use");
            return;
        }
        mLinks.connect(this, message, requestId, listener);
    }

    /** Closes the idle connections whose time is over. */
    void sweep() {
        long now = nowNanos();
        while (!mIdle.isEmpty() && mIdle.peekLast().idlePart(now) >= ANY_IDLE_PART) {
            mIdle.peekLast().close();
        }
    }

    /** Closes the idle connections; requests under way go on. */
    void closeIdle() {
        while (!mIdle.isEmpty()) {
            mIdle.peekLast().close();
        }
    }

    boolean isUnused() {
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
        return mLinks.nowNanos();
    }

    long idleLimitNanos(Optional<Duration> told) {
        Duration limit = told.orElse(STANDARD_IDLE);
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
            return newest.idlePart(now) < part ? mIdle.pollFirst() : null;
        }
        return null;
    }
}
