package org.fescueport.internal.decision.retry;

/**
 * Limits a router's retries and hedges to a share of its requests.
 *
 * <p>Each request adds its share to a bucket of bounded size, and each retry takes one whole token,
 * so that a lost failure domain cannot multiply the traffic.
 */
public final class RetryBudget {
    private final double mShare;
    private final double mMaxTokens;
    private double mTokens;

    private RetryBudget(double share, double maxTokens) {
        mShare = share;
        mMaxTokens = maxTokens;
        mTokens = maxTokens;
    }

    /** Returns a full budget of {@code share} retries for each request. */
    public static RetryBudget create(double share, double maxTokens) {
        return new RetryBudget(share, maxTokens);
    }

    /** Notes a caller's request. */
    public synchronized void onRequest() {
        mTokens = Math.min(mMaxTokens, mTokens + mShare);
    }

    /** Takes a token; false when none is left. */
    public synchronized boolean tryTake() {
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
