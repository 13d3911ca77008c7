package org.fescueport.internal.decision;

/**
 * Estimated amount of work that a request causes on a replica.
 *
 * @param prefillTokens number of prompt tokens that are not in the replica's cache
 * @param decodeTokens expected number of answer tokens
 */
public record Work(long prefillTokens, long decodeTokens) {
    /** Number of prefill tokens that an engine processes in the time of one answer token. */
    private static final long PREFILL_TOKENS_PER_DECODE_TOKEN = 16;

    public Work {
        if (prefillTokens < 0 || decodeTokens < 0) {
            throw new IllegalArgumentException(
                    "work must not be negative: " + prefillTokens + ", " + decodeTokens);
        }
    }

    /** Returns work with these numbers of tokens. */
    public static Work of(long prefillTokens, long decodeTokens) {
        return new Work(prefillTokens, decodeTokens);
    }

    /**
     * Returns the load in tokens: the number of answer tokens that an engine decodes in the time of
     * this work. At least 1.
     */
    public long loadTokens() {
        return Math.max(1, decodeTokens + prefillTokens / PREFILL_TOKENS_PER_DECODE_TOKEN);
    }
}
