package org.fescueport.internal.decision.placement;

import java.util.Optional;

/**
 * Iterates over the replicas of a set in the order of their weighted rendezvous hash for one key.
 *
 * <p>A replica's cost is {@code -ln(u) / weight}, with {@code u} uniform in (0, 1] from the hash of
 * key and node. The replica with the lowest cost ranks first. The relative order of two replicas
 * depends on these two only, so processes with different lists of replicas agree on the order of
 * the replicas that are in both lists.
 *
 * <p>One pass over the set finds the first few ranks, which most walks need only. A walk that goes
 * on, because no replica so far has room, orders all replicas once in a heap: n replicas cost O(n)
 * and each further rank O(log n). This class is not thread-safe.
 */
public final class Ranking {
    /** Number of ranks that the pass over the set finds. */
    private static final int FIRST_RANKS = 4;

    private static final double UNIT = 0x1p-53;

    /** Fractional part of the golden ratio times 2^64: odd, with evenly distributed bits. */
    private static final long MULTIPLIER = 0x9e3779b97f4a7c15L;

    private final ReplicaSet mSet;
    private final long mKey;
    private final double[] mFirstCosts = new double[FIRST_RANKS];
    private final int[] mFirstIndexes = new int[FIRST_RANKS];
    private int mFound;
    private int mReturned;
    private Optional<CostHeap> mRest = Optional.empty();

    private Ranking(ReplicaSet set, long key) {
        mSet = set;
        mKey = key;
    }

    /** Returns a ranking positioned before its first rank. */
    public static Ranking of(ReplicaSet set, Affinity affinity) {
        return new Ranking(set, affinity.key());
    }

    /** Returns the index of the next replica, or -1 after the last. */
    public int next() {
        if (mReturned == mSet.size()) {
            return -1;
        }
        if (mReturned == 0) {
            findFirstRanks();
        }
        int rank = mReturned++;
        return rank < mFound ? mFirstIndexes[rank] : rest().removeLowest();
    }

    private CostHeap rest() {
        if (mRest.isEmpty()) {
            mRest = Optional.of(orderAll());
        }
        return mRest.get();
    }

    /** Returns a heap of all replicas but the first ranks. */
    private CostHeap orderAll() {
        double[] costs = new double[mSet.size()];
        for (int i = 0; i < costs.length; i++) {
            costs[i] = cost(complement(i), i);
        }
        CostHeap heap = CostHeap.of(costs);
        for (int i = 0; i < mFound; i++) {
            heap.removeLowest();
        }
        return heap;
    }

    private void findFirstRanks() {
        double[] inverseWeights = mSet.inverseWeights();
        double worst = Double.POSITIVE_INFINITY;
        for (int i = 0; i < inverseWeights.length; i++) {
            double complement = complement(i);
            // -ln(1 - complement) >= complement, so most replicas need no logarithm.
            if (complement * inverseWeights[i] > worst) {
                continue;
            }
            double cost = cost(complement, i);
            if (cost < worst) {
                insert(cost, i);
                worst = mFound < FIRST_RANKS ? worst : mFirstCosts[FIRST_RANKS - 1];
            }
        }
    }

    /** Returns 1 - u, in [0, 1). */
    private double complement(int index) {
        return (mix(mKey ^ mSet.seeds()[index]) >>> 11) * UNIT;
    }

    private double cost(double complement, int index) {
        return -Math.log(1 - complement) * mSet.inverseWeights()[index];
    }

    /** Mixes the bits; key and seed are hashes already, so one wide multiplication is enough. */
    private static long mix(long bits) {
        return Math.unsignedMultiplyHigh(bits, MULTIPLIER) ^ (bits * MULTIPLIER);
    }

    private void insert(double cost, int index) {
        int at = mFound < FIRST_RANKS ? mFound++ : FIRST_RANKS - 1;
        while (at > 0 && mFirstCosts[at - 1] > cost) {
            mFirstCosts[at] = mFirstCosts[at - 1];
            mFirstIndexes[at] = mFirstIndexes[at - 1];
            at--;
        }
        mFirstCosts[at] = cost;
        mFirstIndexes[at] = index;
    }
}
