package org.fescueport.internal.decision.transfer;

/**
 * How a chat gets its KV cache.
 *
 * @param delayMillis expected time before its own work starts
 * @param cost in milliseconds of an engine's work
 * @param meetsDeadline whether the whole answer is expected in time
 */
public record TransferPlan(Kind kind, long delayMillis, double cost, boolean meetsDeadline) {
    /** Ways to get it. */
    public enum Kind {
        /** The other replica imports the cache from the holder. */
        IMPORT,
        /** The other replica computes it again. */
        REBUILD,
        /** The request waits for the holder. */
        WAIT
    }

    TransferPlan betterOf(TransferPlan other) {
        if (meetsDeadline != other.meetsDeadline) {
            return meetsDeadline ? this : other;
        }
        if (!meetsDeadline) {
            return delayMillis <= other.delayMillis ? this : other;
        }
        return cost <= other.cost ? this : other;
    }
}
