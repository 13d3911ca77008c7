package org.fescueport.internal.decision.transfer;

/**
 * A plan to provide the KV cache of a chat.
 *
 * @param delayMillis expected time until the remaining work of the request starts
 * @param cost cost of the plan, in milliseconds of engine time
 * @param meetsDeadline whether the whole response is expected before the deadline
 */
public record TransferPlan(Kind kind, long delayMillis, double cost, boolean meetsDeadline) {
    /** How the cache is provided. */
    public enum Kind {
        /** The other replica imports the cache from the holder. */
        IMPORT,
        /** The other replica recomputes the cache. */
        REBUILD,
        /** The request waits until the holder can run it. */
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
