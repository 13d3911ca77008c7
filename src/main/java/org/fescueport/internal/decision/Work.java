package org.fescueport.internal.decision;

/**
 * Work that a request brings to a replica.
 *
 * @param prefillTokens prompt tokens that are not in the replica's cache
 * @param decodeTokens tokens of the answer that are expected
 */
public record Work(long prefillTokens, long decodeTokens) {
    /** Prefill tokens that take an engine as long as one token of an answer. */
    private static final long PREFILL_TOKENS_PER_DECODE_TOKEN = 16;

    public Work {
        if (prefillTokens < 0 || decodeTokens < 0) {
            throw new IllegalArgumentException(
                    "work is not negative: " + prefillTokens + ", " + decodeTokens);
        }
    }

    /** Returns work of this size. */
    public static Work of(long prefillTokens, long decodeTokens) {
        return new Work(prefillTokens, decodeTokens);
    }

    /** Returns its load: tokens of answer that take an engine as long, at least 1. */
    public long loadTokens() {
        return Math.max(1, decodeTokens + prefillTokens / PREFILL_TOKENS_PER_DECODE_TOKEN);
    }
}
