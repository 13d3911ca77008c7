package org.fescueport.internal.direct.place;

import io.micrometer.core.instrument.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.retry.RetryBudget;

/**
 * This node's part of the retries that the whole fleet may send to each pool.
 *
 * <p>The share is proportional to this node's own requests, so it needs no coordination. Part of it
 * can be saved up for failures that come in a burst. Each node gets an equal part of the fixed
 * allowance: some of it can be saved up, and some is refilled over time. A node starts without
 * tokens, so that restarts and changes in the number of nodes cannot exceed the fleet's limit in
 * total.
 */
public final class RetryBudgets {
    /** Fraction of the share that each request adds. */
    private static final double ADDED_FRACTION = 0.6;

    /**
     * Fraction of the share of a window's requests that may be saved up for a burst of failures.
     */
    private static final double SAVED_FRACTION = 0.3;

    /** Fraction of the allowance that may be saved up for a burst of failures. */
    private static final double BURST_FRACTION = 0.4;

    /** Fraction of the allowance that is refilled in each window. */
    private static final double REFILL_FRACTION = 0.35;

    private final Clock mClock;
    private final Duration mWindow;
    private final long mStartedNanos;
    private final Map<PoolId, PoolBudget> mBudgets = new HashMap<>();
    private double mShare;
    private double mFleetAllowance;
    private int mNodes;
    private long mLastRefillNanos;

    /** The budget of a pool, and about how many requests it got in the last window. */
    private final class PoolBudget {
        private final RetryBudget mTokens = RetryBudget.createEmpty(0, 0);
        private double mRecentRequests;
        private long mCountedAtNanos = mLastRefillNanos;

        void onRequest(long nowNanos) {
            double windows = (double) (nowNanos - mCountedAtNanos) / mWindow.toNanos();
            mRecentRequests = mRecentRequests * Math.exp(-windows) + 1;
            mCountedAtNanos = nowNanos;
            updateLimits();
            mTokens.onRequest();
        }

        void updateLimits() {
            double saved = SAVED_FRACTION * mShare * mRecentRequests;
            mTokens.setLimits(ADDED_FRACTION * mShare, savedAllowance() + saved);
        }
    }

    private RetryBudgets(double share, double fleetAllowance, Duration window, Clock clock) {
        mShare = share;
        mFleetAllowance = fleetAllowance;
        mWindow = window;
        mClock = clock;
        mStartedNanos = clock.monotonicTime();
        mLastRefillNanos = mStartedNanos;
    }

    /**
     * Returns budgets that are empty and are filled by requests and over time.
     *
     * @param share retries per request, for the whole fleet
     * @param fleetAllowance further retries per window, for the whole fleet
     * @param window period in which the fleet's retries are counted
     * @param nodes number of nodes that share the allowance
     */
    public static RetryBudgets create(
            double share, double fleetAllowance, Duration window, int nodes, Clock clock) {
        var budgets = new RetryBudgets(share, fleetAllowance, window, clock);
        budgets.mNodes = Math.max(1, nodes);
        return budgets;
    }

    /**
     * Updates the number of nodes that share the allowance. It only increases; the parts of nodes
     * that have left stay unused.
     */
    public void onNodes(int nodes) {
        if (nodes > mNodes) {
            refill();
            mNodes = nodes;
            updateLimits();
        }
    }

    /** Updates the limits. */
    public void onLimits(double share, double fleetAllowance) {
        refill();
        mShare = share;
        mFleetAllowance = fleetAllowance;
        updateLimits();
    }

    /** Records a caller's request to a pool. */
    public void onRequest(PoolId pool) {
        budget(pool).onRequest(mClock.monotonicTime());
    }

    /** Takes one retry from the budget of a pool; returns false if none is left. */
    public boolean tryAcquireRetry(PoolId pool) {
        refill();
        return budget(pool).mTokens.tryAcquire();
    }

    private void updateLimits() {
        mBudgets.values().forEach(PoolBudget::updateLimits);
    }

    private PoolBudget budget(PoolId pool) {
        return mBudgets.computeIfAbsent(pool, id -> newBudget());
    }

    private PoolBudget newBudget() {
        var budget = new PoolBudget();
        budget.updateLimits();
        budget.mTokens.addTokens(refillTokens(mLastRefillNanos - mStartedNanos));
        return budget;
    }

    private void refill() {
        long now = mClock.monotonicTime();
        double tokens = refillTokens(now - mLastRefillNanos);
        mLastRefillNanos = now;
        mBudgets.values().forEach(budget -> budget.mTokens.addTokens(tokens));
    }

    /** Returns the tokens that are refilled in this time. */
    private double refillTokens(long nanos) {
        return REFILL_FRACTION * mFleetAllowance / mNodes * nanos / mWindow.toNanos();
    }

    /**
     * Returns how much of the allowance may be saved up; with less than one token no retry would
     * ever be allowed.
     */
    private double savedAllowance() {
        return Math.max(1, BURST_FRACTION * mFleetAllowance / mNodes);
    }
}
