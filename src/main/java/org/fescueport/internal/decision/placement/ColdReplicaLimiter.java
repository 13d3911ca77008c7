package org.fescueport.internal.decision.placement;

import java.time.Duration;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.attempt.AgentIncarnation;

/**
 * Limits the rate at which this node sends requests to replicas that have not warmed up.
 *
 * <p>A replica that has just started, or has lost its cache, can handle only a few requests per
 * second from all nodes together, although the full load is present. The nodes do not coordinate.
 * Instead, each node decides at random, for each short time slot, whether it may send one request
 * in that slot. The probability is low enough that all nodes together stay below the rate that the
 * replica can handle, however the load is distributed over the nodes. This class is not
 * thread-safe.
 *
 * <pre>{@code
 * if (limiter.maySend(incarnation, maxPerSecond, now)) {
 *     send(request);
 *     limiter.onSent(incarnation);
 * }
 * }</pre>
 */
public final class ColdReplicaLimiter {
    private static final Duration SLOT = Duration.ofMillis(100);

    /**
     * Average fraction of the allowed rate that all nodes together use. The nodes draw
     * independently, so the actual rate varies; it exceeds 1.5 times the allowed rate in less than
     * one in 2,000 seconds.
     */
    private static final double USED_FRACTION = 0.6;

    /** Number of nodes in the largest fleet, assumed until the actual number is known. */
    private static final int DEFAULT_NODE_COUNT = 330;

    /** Larger than the number of replicas that are cold at the same time. */
    private static final int MAX_INCARNATIONS = 2_048;

    private static final class Slot {
        private long mStartNanos;
        private boolean mSendAllowed;
    }

    private final RandomGenerator mRandom;
    private final Map<AgentIncarnation, Slot> mSlots = new BoundedMap<>(MAX_INCARNATIONS);
    private int mNodeCount;

    private ColdReplicaLimiter(RandomGenerator random) {
        mRandom = random;
    }

    /** Returns a limiter that does not know the number of nodes yet. */
    public static ColdReplicaLimiter create(RandomGenerator random) {
        return new ColdReplicaLimiter(random);
    }

    /**
     * Updates the number of nodes. Only the largest number counts, since nodes that this one no
     * longer sees may still send.
     */
    public void onNodes(int nodes) {
        mNodeCount = Math.max(mNodeCount, nodes);
    }

    /**
     * Returns whether this node may send one request to the replica now.
     *
     * @param maxPerSecond requests per second that the replica can handle from all nodes together
     */
    public boolean maySend(AgentIncarnation incarnation, double maxPerSecond, long nowNanos) {
        Slot slot = mSlots.get(incarnation);
        if (slot == null || nowNanos - slot.mStartNanos >= SLOT.toNanos()) {
            slot = mSlots.computeIfAbsent(incarnation, key -> new Slot());
            slot.mStartNanos = nowNanos;
            slot.mSendAllowed = mRandom.nextDouble() < sendProbability(maxPerSecond);
        }
        return slot.mSendAllowed;
    }

    /**
     * Records that a request is sent, which uses up the current slot. {@link #maySend} must have
     * returned true for the incarnation.
     */
    public void onSent(AgentIncarnation incarnation) {
        Slot slot = mSlots.get(incarnation);
        Invariants.check(
                slot != null && slot.mSendAllowed,
                "this node may not send to cold replica %s at this time",
                incarnation);
        slot.mSendAllowed = false;
    }

    private double sendProbability(double maxPerSecond) {
        int nodes = mNodeCount > 0 ? mNodeCount : DEFAULT_NODE_COUNT;
        return USED_FRACTION * maxPerSecond * SLOT.toMillis() / 1_000 / nodes;
    }
}
