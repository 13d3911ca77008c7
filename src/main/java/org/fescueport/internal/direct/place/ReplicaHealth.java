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
public final class ReplicaHealth {
    private final Map<NodeId, Long> mHeardAtNanos = new HashMap<>();

    private ReplicaHealth() {}

    /** Returns a watch that has heard nothing yet. */
    public static ReplicaHealth create() {
        return new ReplicaHealth();
    }

    /** Notes that bytes of an answer came. */
    public void onHeard(NodeId replica, long nowNanos) {
        mHeardAtNanos.put(replica, nowNanos);
    }

    /** Returns whether a replica has sent nothing for this time, though asked since then. */
    public boolean isSilent(NodeId replica, long askedAtNanos, Duration duration, long nowNanos) {
        long heard = mHeardAtNanos.getOrDefault(replica, askedAtNanos);
        long since = heard - askedAtNanos > 0 ? heard : askedAtNanos;
        return nowNanos - since >= duration.toNanos();
    }

    /** Forgets all but these replicas. */
    public void retain(Set<NodeId> replicas) {
        mHeardAtNanos.keySet().retainAll(replicas);
    }
}
