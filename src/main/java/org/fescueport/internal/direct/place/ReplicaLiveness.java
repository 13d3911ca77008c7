package org.fescueport.internal.direct.place;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.fescueport.internal.decision.NodeId;

/**
 * Tracks when data was last received from each replica, on any connection.
 *
 * <p>An engine that processes several requests sends something every few tens of milliseconds, so
 * silence on all of them indicates a failure sooner than silence on one. Not thread-safe; used only
 * on the event loop.
 */
public final class ReplicaLiveness {
    private final Map<NodeId, Long> mLastReceivedNanos = new HashMap<>();

    private ReplicaLiveness() {}

    /** Returns a tracker without any data. */
    public static ReplicaLiveness create() {
        return new ReplicaLiveness();
    }

    /** Records that bytes of a response were received. */
    public void onDataReceived(NodeId replica, long nowNanos) {
        mLastReceivedNanos.put(replica, nowNanos);
    }

    /**
     * Returns whether a replica has sent nothing for this duration, counted from the last data it
     * sent or from the time at which the request was sent, whichever is later.
     */
    public boolean isSilent(NodeId replica, long sentAtNanos, Duration duration, long nowNanos) {
        long lastReceived = mLastReceivedNanos.getOrDefault(replica, sentAtNanos);
        long since = lastReceived - sentAtNanos > 0 ? lastReceived : sentAtNanos;
        return nowNanos - since >= duration.toNanos();
    }

    /** Drops the state of all replicas except these. */
    public void retain(Set<NodeId> replicas) {
        mLastReceivedNanos.keySet().retainAll(replicas);
    }
}
