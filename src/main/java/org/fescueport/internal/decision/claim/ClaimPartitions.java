package org.fescueport.internal.decision.claim;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.fescueport.internal.decision.NodeId;

/**
 * Partitions idempotency keys among the claim streams of a fleet. The number of partitions must
 * never change, because a key would then map to a different stream.
 *
 * <pre>{@code
 * int partition = partitions.of(key);
 * List<NodeId> deciders = partitions.deciders(partition, liveAgents, 2);
 * }</pre>
 */
public record ClaimPartitions(int count) {
    /** Returns the partition of a key, from 0 to {@code count - 1}. */
    public int of(IdempotencyKey key) {
        long hash =
                Hashing.komihash5_0()
                        .hashStream()
                        .putLong(key.low())
                        .putLong(key.high())
                        .getAsLong();
        return (int) Long.remainderUnsigned(hash, count);
    }

    /** Returns the name of the log stream of a partition. */
    public String stream(int partition) {
        return "claims-%02d".formatted(partition);
    }

    /**
     * Returns the nodes that batch the claims of a partition, in order of preference, chosen by
     * rendezvous hashing. Nodes that see different lists of live nodes may choose different
     * deciders; this costs additional appends but does not affect correctness.
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
