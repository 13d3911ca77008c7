package org.fescueport.internal.decision.placement;

import java.util.function.ToDoubleFunction;

/**
 * A walk through the replicas of a key in the order of its ranks, passing over those that have no
 * room, and remembering the least loaded of them.
 *
 * <p>Answers uneven load of few hot keys: all processes walk in the same order, so a key that one
 * replica can't carry goes to the same second one from everywhere. Not safe for use by several
 * threads.
 *
 * <pre>{@code
 * RankWalk walk = RankWalk.of(set, affinity, allowed, hasRoom, load);
 * int index = walk.next();
 * Replica replica = set.replica(index >= 0 ? index : walk.leastLoaded());
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
     * Returns a walk that stands before the first rank.
     *
     * @param allowed replicas that may be used at all
     * @param hasCapacity replicas that may be used before the others
     * @param load compares those without room
     */
    public static CandidateIterator of(
            ReplicaSet set,
            Affinity affinity,
            ReplicaFilter allowed,
            ReplicaFilter hasCapacity,
            ToDoubleFunction<Replica> load) {
        return new CandidateIterator(set, Ranking.of(set, affinity), allowed, hasCapacity, load);
    }

    /** Returns whether this replica can be used now, before any rank; the ranks pass over it. */
    public boolean tryPreferred(int index) {
        mPreferred = index;
        return isEligible(index);
    }

    /** Returns the index of the next replica with room, or -1 when none is left. */
    public int next() {
        return next(Integer.MAX_VALUE);
    }

    /** Returns the same, or -1 also once so many without room have been passed over. */
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

    /** Returns the rank at which the walk stands, 0 for the first; -1 before it. */
    public int rank() {
        return mRank;
    }

    /** Returns the index of the least loaded of those passed over for room, or -1. */
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
