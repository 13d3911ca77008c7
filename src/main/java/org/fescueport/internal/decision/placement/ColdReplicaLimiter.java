package org.fescueport.internal.decision.placement;

import java.time.Duration;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.attempt.AgentIncarnation;

/**
 * When this node may send a request to a replica that has not warmed up.
 *
 * <p>Answers a replica that has just started, or has lost what it held, while the whole load is
 * there: it bears few requests a second from all nodes together, and nodes do not tell one another
 * what they send. So each node draws for each short slot of time whether it may send one request in
 * it, so rarely that all nodes together stay under what the replica bears, whatever their shares of
 * the load are. Not safe for use by several threads.
 *
 * <pre>{@code
 * if (turns.isMine(life, perSecond, now)) {
 *     send(request);
 *     turns.onSent(life);
 * }
 * }</pre>
 */
public final class ColdReplicaLimiter {
    private static final Duration SLOT = Duration.ofMillis(100);

    /**
     * Part of what a replica bears that nodes send on average. Draws know nothing of one another;
     * what comes in one second is above 1.5 times the whole in less than one in 2,000 seconds.
     */
    private static final double USED_FRACTION = 0.6;

    /** Assumed until the number of nodes is told; a fleet of the largest size. */
    private static final int DEFAULT_NODE_COUNT = 330;

    /** More replicas than are cold at a time. */
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

    /** Returns turns of a node that does not know yet how many others there are. */
    public static ColdReplicaLimiter create(RandomGenerator random) {
        return new ColdReplicaLimiter(random);
    }

    /** Notes how many nodes there are; those that are not seen any more may send still. */
    public void onNodes(int nodes) {
        mNodeCount = Math.max(mNodeCount, nodes);
    }

    /**
     * Returns whether one request may be sent now.
     *
     * @param maxPerSecond requests that the replica bears from all nodes together
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

    /** Notes that a request is sent. */
    public void onSent(AgentIncarnation incarnation) {
        Slot slot = mSlots.get(incarnation);
        Invariants.check(
                slot != null && slot.mSendAllowed, "it is not this node's turn at %s", incarnation);
        slot.mSendAllowed = false;
    }

    private double sendProbability(double maxPerSecond) {
        int nodes = mNodeCount > 0 ? mNodeCount : DEFAULT_NODE_COUNT;
        return USED_FRACTION * maxPerSecond * SLOT.toMillis() / 1_000 / nodes;
    }
}
