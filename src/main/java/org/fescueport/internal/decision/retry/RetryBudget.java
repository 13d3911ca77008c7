package org.fescueport.internal.decision.retry;

/**
 * Limits a router's retries and hedges to a share of its requests.
 *
 * <p>Each request adds its share to a bucket of bounded size, and each retry takes one whole token,
 * so that a lost failure domain cannot multiply the traffic.
 */
public final class RetryBudget {
    private double mRetryRatio;
    private double mMaxTokens;
    private double mTokens;

    private RetryBudget(double retryRatio, double maxTokens, double tokens) {
        mRetryRatio = retryRatio;
        mMaxTokens = maxTokens;
        mTokens = tokens;
    }

    /** Returns a full budget of {@code share} retries for each request. */
    public static RetryBudget create(double retryRatio, double maxTokens) {
        return new RetryBudget(retryRatio, maxTokens, maxTokens);
    }

    /**
     * Returns a budget that requests and time have yet to fill; for a part of a joint limit, of
     * which a former life of this process may have used its tokens a moment ago.
     */
    public static RetryBudget createEmpty(double retryRatio, double maxTokens) {
        return new RetryBudget(retryRatio, maxTokens, 0);
    }

    /** Takes other limits; tokens that are there stay as far as they fit. */
    public synchronized void setLimits(double retryRatio, double maxTokens) {
        mRetryRatio = retryRatio;
        mMaxTokens = maxTokens;
        mTokens = Math.min(mTokens, maxTokens);
    }

    /** Notes a caller's request. */
    public synchronized void onRequest() {
        addTokens(mRetryRatio);
    }

    /** Adds tokens that come with time. */
    public synchronized void addTokens(double tokens) {
        mTokens = Math.min(mMaxTokens, mTokens + tokens);
    }

    /** Takes a token; false when none is left. */
    public synchronized boolean tryAcquire() {
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
