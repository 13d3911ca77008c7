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
public final class ColdTurns {
    private static final Duration SLOT = Duration.ofMillis(100);

    /**
     * Part of what a replica bears that nodes send on average. Draws know nothing of one another;
     * what comes in one second is above 1.5 times the whole in less than one in 2,000 seconds.
     */
    private static final double USED_PART = 0.6;

    /** Assumed until the number of nodes is told; a fleet of the largest size. */
    private static final int UNKNOWN_NODES = 330;

    /** More replicas than are cold at a time. */
    private static final int MOST_LIVES = 2_048;

    private static final class Turn {
        private long mSinceNanos;
        private boolean mMine;
    }

    private final RandomGenerator mRandom;
    private final Map<AgentIncarnation, Turn> mTurns = new BoundedMap<>(MOST_LIVES);
    private int mNodes;

    private ColdTurns(RandomGenerator random) {
        mRandom = random;
    }

    /** Returns turns of a node that does not know yet how many others there are. */
    public static ColdTurns create(RandomGenerator random) {
        return new ColdTurns(random);
    }

    /** Notes how many nodes there are; those that are not seen any more may send still. */
    public void onNodes(int nodes) {
        mNodes = Math.max(mNodes, nodes);
    }

    /**
     * Returns whether one request may be sent now.
     *
     * @param perSecond requests that the replica bears from all nodes together
     */
    public boolean isMine(AgentIncarnation life, double perSecond, long nowNanos) {
        Turn turn = mTurns.get(life);
        if (turn == null || nowNanos - turn.mSinceNanos >= SLOT.toNanos()) {
            turn = mTurns.computeIfAbsent(life, key -> new Turn());
            turn.mSinceNanos = nowNanos;
            turn.mMine = mRandom.nextDouble() < chance(perSecond);
        }
        return turn.mMine;
    }

    /** Notes that a request is sent. */
    public void onSent(AgentIncarnation life) {
        Turn turn = mTurns.get(life);
        Invariants.check(turn != null && turn.mMine, "it is not this node's turn at %s", life);
        turn.mMine = false;
    }

    private double chance(double perSecond) {
        int nodes = mNodes > 0 ? mNodes : UNKNOWN_NODES;
        return USED_PART * perSecond * SLOT.toMillis() / 1_000 / nodes;
    }
}
