package org.fescueport.internal.decision.claim;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.fescueport.internal.decision.NodeId;

/**
 * The claim streams of a fleet. Their count is fixed: with another count a key would be looked for
 * in another stream.
 *
 * <pre>{@code
 * int partition = partitions.of(key);
 * List<NodeId> deciders = partitions.deciders(partition, liveAgents, 2);
 * }</pre>
 */
public record ClaimPartitions(int count) {
    /** Returns the partition of a key. */
    public int of(IdempotencyKey key) {
        long hash =
                Hashing.komihash5_0()
                        .hashStream()
                        .putLong(key.low())
                        .putLong(key.high())
                        .getAsLong();
        return (int) Long.remainderUnsigned(hash, count);
    }

    /** Returns the name of a partition's stream. */
    public String stream(int partition) {
        return "claims-%02d".formatted(partition);
    }

    /**
     * Returns the nodes that batch a partition's claims, first choice first, by rendezvous hash.
     * Nodes with other lists of the live ones may pick others, which costs appends and nothing
     * else.
     */
    public List<NodeId> deciders(int partition, Collection<NodeId> live, int limit) {
        Comparator<NodeId> byScore =
                Comparator.comparingLong((NodeId node) -> score(partition, node)).reversed();
        return live.stream().sorted(byScore.thenComparing(NodeId::name)).limit(limit).toList();
    }

    private static long score(int partition, NodeId node) {
        return Hashing.komihash5_0()
                .hashStream()
                .putInt(partition)
                .putString(node.name())
                .getAsLong();
    }
}
