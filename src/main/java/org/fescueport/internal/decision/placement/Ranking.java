package org.fescueport.internal.decision.placement;

/**
 * Iterates over the replicas of a set in the order of their weighted rendezvous hash for one key.
 *
 * <p>A replica's cost is {@code -ln(u) / weight}, with {@code u} uniform in (0, 1] from the hash of
 * key and node. The replica with the lowest cost ranks first. The relative order of two replicas
 * depends on these two only, so processes with different lists of replicas agree on the order of
 * the replicas that are in both lists.
 *
 * <p>One pass over the set finds the next few ranks; later ranks need another pass. This class is
 * not thread-safe.
 */
public final class Ranking {
    /** Number of ranks that one pass over the set finds. */
    private static final int RANKS_PER_PASS = 4;

    private static final double UNIT = 0x1p-53;

    /** Fractional part of the golden ratio times 2^64: odd, with evenly distributed bits. */
    private static final long MULTIPLIER = 0x9e3779b97f4a7c15L;

    private final ReplicaSet mSet;
    private final long mKey;
    private final double[] mCosts = new double[RANKS_PER_PASS];
    private final int[] mIndexes = new int[RANKS_PER_PASS];
    private int mFound;
    private int mNext;
    private int mReturned;
    private double mLastCost = -1;
    private int mLastIndex = -1;

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
        if (mNext == mFound) {
            findNextRanks();
        }
        mLastCost = mCosts[mNext];
        mLastIndex = mIndexes[mNext];
        mNext++;
        mReturned++;
        return mLastIndex;
    }

    private void findNextRanks() {
        long[] seeds = mSet.seeds();
        double[] inverseWeights = mSet.inverseWeights();
        long key = mKey;
        mNext = 0;
        mFound = 0;
        double worst = Double.POSITIVE_INFINITY;
        for (int i = 0; i < seeds.length; i++) {
            double complement = (mix(key ^ seeds[i]) >>> 11) * UNIT;
            // -ln(1 - complement) >= complement, so most replicas need no logarithm.
            if (complement * inverseWeights[i] > worst) {
                continue;
            }
            double cost = -Math.log(1 - complement) * inverseWeights[i];
            if (isAfterLast(cost, i) && cost < worst) {
                insert(cost, i);
                worst = mFound < RANKS_PER_PASS ? worst : mCosts[RANKS_PER_PASS - 1];
            }
        }
    }

    /** Mixes the bits; key and seed are hashes already, so one wide multiplication is enough. */
    private static long mix(long bits) {
        return Math.unsignedMultiplyHigh(bits, MULTIPLIER) ^ (bits * MULTIPLIER);
    }

    private boolean isAfterLast(double cost, int index) {
        return cost > mLastCost || (cost == mLastCost && index > mLastIndex);
    }

    private void insert(double cost, int index) {
        int at = mFound < RANKS_PER_PASS ? mFound++ : RANKS_PER_PASS - 1;
        while (at > 0 && mCosts[at - 1] > cost) {
            mCosts[at] = mCosts[at - 1];
            mIndexes[at] = mIndexes[at - 1];
            at--;
        }
        mCosts[at] = cost;
        mIndexes[at] = index;
    }
}
