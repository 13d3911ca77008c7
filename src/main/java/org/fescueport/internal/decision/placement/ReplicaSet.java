package org.fescueport.internal.decision.placement;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;

/**
 * The live replicas of one pool as one process sees them; immutable.
 *
 * <p>What the ranking needs of each replica stands in primitive arrays, so that ranking reads
 * memory in order and allocates nothing for each replica.
 *
 * <pre>{@code
 * ReplicaSet set = ReplicaSet.of(pool, replicas);
 * Ranking ranking = Ranking.of(set, affinity);
 * Replica home = set.replica(ranking.next());
 * }</pre>
 */
public final class ReplicaSet {
    private final PoolId mPool;
    private final List<Replica> mReplicas;
    private final Map<NodeId, Integer> mIndexes;
    private final long[] mSeeds;
    private final double[] mInverseWeights;

    private ReplicaSet(PoolId pool, List<Replica> replicas) {
        mPool = pool;
        mReplicas = List.copyOf(replicas);
        mIndexes = HashMap.newHashMap(replicas.size());
        mSeeds = new long[replicas.size()];
        mInverseWeights = new double[replicas.size()];
        for (int i = 0; i < mSeeds.length; i++) {
            add(i, mReplicas.get(i));
        }
    }

    private void add(int index, Replica replica) {
        if (mIndexes.put(replica.node(), index) != null) {
            throw new IllegalArgumentException(replica.node() + " stands twice in " + mPool);
        }
        mSeeds[index] = Hashing.komihash5_0().hashCharsToLong(replica.node().name());
        mInverseWeights[index] = 1 / replica.weight();
    }

    /** Returns a set of these replicas; each node may stand in it once. */
    public static ReplicaSet of(PoolId pool, List<Replica> replicas) {
        return new ReplicaSet(pool, replicas);
    }

    /** Returns the pool. */
    public PoolId pool() {
        return mPool;
    }

    /** Returns how many replicas there are. */
    public int size() {
        return mSeeds.length;
    }

    /** Returns the replicas; the order has no meaning. */
    public List<Replica> replicas() {
        return mReplicas;
    }

    /** Returns the replica at this index. */
    public Replica replica(int index) {
        return mReplicas.get(index);
    }

    /** Returns the index of a node, or -1 when it is not in the set. */
    public int indexOf(NodeId node) {
        return mIndexes.getOrDefault(node, -1);
    }

    long[] seeds() {
        return mSeeds;
    }

    double[] inverseWeights() {
        return mInverseWeights;
    }
}
