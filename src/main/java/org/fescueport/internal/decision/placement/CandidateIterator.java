package org.fescueport.internal.decision.placement;

import java.util.function.ToDoubleFunction;

/**
 * Iterates over the replicas of a key in rank order, skips those without capacity, and keeps the
 * least loaded of the skipped replicas.
 *
 * <p>Designed for uneven load with a few hot keys: the order is the same in all processes, so
 * requests of a key that one replica cannot handle go to the same second replica from everywhere.
 * This class is not thread-safe.
 *
 * <pre>{@code
 * var candidates = CandidateIterator.of(set, affinity, allowed, hasCapacity, load);
 * int index = candidates.next();
 * Replica replica = set.replica(index >= 0 ? index : candidates.leastLoaded());
 * }</pre>
 */
public final class CandidateIterator {
    private final ReplicaSet mSet;
    private final Ranking mRanking;
    private final ReplicaFilter mAllowed;
    private final ReplicaFilter mHasCapacity;
    private final ToDoubleFunction<Replica> mLoad;
    private int mPreferred = -1;
    private int mRank = -1;
    private int mOverloaded;
    private int mLeastLoaded = -1;
    private double mLeastLoad;

    private CandidateIterator(
            ReplicaSet set,
            Ranking ranking,
            ReplicaFilter allowed,
            ReplicaFilter hasCapacity,
            ToDoubleFunction<Replica> load) {
        mSet = set;
        mRanking = ranking;
        mAllowed = allowed;
        mHasCapacity = hasCapacity;
        mLoad = load;
    }

    /**
     * Returns an iterator positioned before the first rank.
     *
     * @param allowed accepts the replicas that may be used at all
     * @param hasCapacity accepts the replicas that are preferred to the other allowed ones
     * @param load load by which the allowed replicas without capacity are compared
     */
    public static CandidateIterator of(
            ReplicaSet set,
            Affinity affinity,
            ReplicaFilter allowed,
            ReplicaFilter hasCapacity,
            ToDoubleFunction<Replica> load) {
        return new CandidateIterator(set, Ranking.of(set, affinity), allowed, hasCapacity, load);
    }

    /**
     * Returns whether the given replica, which is preferred to the ranked ones, is allowed and has
     * capacity. {@link #next()} does not return it again.
     */
    public boolean tryPreferred(int index) {
        mPreferred = index;
        return isEligible(index);
    }

    /** Returns the index of the next replica with capacity, or -1 if there is none. */
    public int next() {
        return next(Integer.MAX_VALUE);
    }

    /**
     * Returns the index of the next replica with capacity, or -1 if there is none or once at least
     * {@code maxOverloaded} replicas without capacity have been skipped.
     */
    public int next(int maxOverloaded) {
        while (mOverloaded < maxOverloaded) {
            int index = mRanking.next();
            if (index < 0) {
                return -1;
            }
            mRank++;
            if (index != mPreferred && isEligible(index)) {
                return index;
            }
        }
        return -1;
    }

    /** Returns the current rank, starting at 0; -1 before the first call of {@link #next()}. */
    public int rank() {
        return mRank;
    }

    /** Returns the index of the least loaded replica skipped for lack of capacity, or -1. */
    public int leastLoaded() {
        return mLeastLoaded;
    }

    private boolean isEligible(int index) {
        Replica replica = mSet.replica(index);
        if (!mAllowed.allows(replica)) {
            return false;
        }
        if (mHasCapacity.allows(replica)) {
            return true;
        }
        double load = mLoad.applyAsDouble(replica);
        if (mOverloaded++ == 0 || load < mLeastLoad) {
            mLeastLoaded = index;
            mLeastLoad = load;
        }
        return false;
    }
}
