package org.fescueport.internal.decision.placement;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;

/**
 * The live replicas of one pool, as seen by one process; immutable.
 *
 * <p>The values that {@link Ranking} needs are stored in primitive arrays, so that it reads memory
 * sequentially and makes no allocation per replica.
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
            throw new IllegalArgumentException(replica.node() + " occurs twice in pool " + mPool);
        }
        mSeeds[index] = Hashing.komihash5_0().hashCharsToLong(replica.node().name());
        mInverseWeights[index] = 1 / replica.weight();
    }

    /**
     * Returns a set of the given replicas.
     *
     * @throws IllegalArgumentException if two replicas have the same node
     */
    public static ReplicaSet of(PoolId pool, List<Replica> replicas) {
        return new ReplicaSet(pool, replicas);
    }

    public PoolId pool() {
        return mPool;
    }

    public int size() {
        return mSeeds.length;
    }

    /** Returns the replicas in no particular order. */
    public List<Replica> replicas() {
        return mReplicas;
    }

    public Replica replica(int index) {
        return mReplicas.get(index);
    }

    /** Returns the index of a node, or -1 if it is not in the set. */
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
