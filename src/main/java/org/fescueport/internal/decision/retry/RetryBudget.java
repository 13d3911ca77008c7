package org.fescueport.internal.decision.retry;

/**
 * Limits a router's retries and hedges to a share of its requests.
 *
 * <p>This is a token bucket of bounded size: each request adds {@code share} tokens, and each retry
 * takes one whole token. The loss of a failure domain therefore cannot multiply the traffic.
 */
public final class RetryBudget {
    private double mShare;
    private double mMaxTokens;
    private double mTokens;

    private RetryBudget(double share, double maxTokens, double tokens) {
        mShare = share;
        mMaxTokens = maxTokens;
        mTokens = tokens;
    }

    /**
     * Returns a full budget.
     *
     * @param share tokens that each request adds
     * @param maxTokens most retries that can be saved up
     */
    public static RetryBudget create(double share, double maxTokens) {
        return new RetryBudget(share, maxTokens, maxTokens);
    }

    /**
     * Returns an empty budget, which requests and the passage of time fill. It suits a process that
     * holds a part of a common limit, since a previous incarnation of the process may have used its
     * tokens a moment ago.
     */
    public static RetryBudget createEmpty(double share, double maxTokens) {
        return new RetryBudget(share, maxTokens, 0);
    }

    /** Changes the limits; keeps the present tokens up to the new maximum. */
    public synchronized void setLimits(double share, double maxTokens) {
        mShare = share;
        mMaxTokens = maxTokens;
        mTokens = Math.min(mTokens, maxTokens);
    }

    /** Records a caller's request, which adds its share of a token. */
    public synchronized void onRequest() {
        addTokens(mShare);
    }

    /** Adds tokens that accrue over time. */
    public synchronized void addTokens(double tokens) {
        mTokens = Math.min(mMaxTokens, mTokens + tokens);
    }

    /** Takes one token; returns false if less than one is left. */
    public synchronized boolean tryAcquire() {
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }
}
