package org.fescueport.internal.direct.place;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.fescueport.internal.decision.NodeId;

/**
 * When each replica was last heard, on whichever connection.
 *
 * <p>An engine that works on several requests sends something every few tens of milliseconds, so
 * silence towards all of them is a sign sooner than the silence of one. Used by the event loop
 * alone.
 */
public final class ReplicaLiveness {
    private final Map<NodeId, Long> mLastReceivedNanos = new HashMap<>();

    private ReplicaLiveness() {}

    /** Returns a watch that has heard nothing yet. */
    public static ReplicaLiveness create() {
        return new ReplicaLiveness();
    }

    /** Notes that bytes of an answer came. */
    public void onDataReceived(NodeId replica, long nowNanos) {
        mLastReceivedNanos.put(replica, nowNanos);
    }

    /** Returns whether a replica has sent nothing for this time, though asked since then. */
    public boolean isSilent(NodeId replica, long sentAtNanos, Duration duration, long nowNanos) {
        long lastReceived = mLastReceivedNanos.getOrDefault(replica, sentAtNanos);
        long since = lastReceived - sentAtNanos > 0 ? lastReceived : sentAtNanos;
        return nowNanos - since >= duration.toNanos();
    }

    /** Forgets all but these replicas. */
    public void retain(Set<NodeId> replicas) {
        mLastReceivedNanos.keySet().retainAll(replicas);
    }
}
