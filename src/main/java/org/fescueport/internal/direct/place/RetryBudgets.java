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
 * <p>The share is proportional to this node's own requests, so it needs no coordination. Each node
 * gets an equal part of the fixed allowance: some of it can be saved up, and some is refilled over
 * time. A node starts without tokens, so that restarts and changes in the number of nodes cannot
 * exceed the fleet's limit in total.
 */
public final class RetryBudgets {
    /** Fraction of the share that is used. */
    private static final double USED_FRACTION = 0.75;

    /** Fraction of the allowance that may be saved up for a burst of failures. */
    private static final double BURST_FRACTION = 0.4;

    /** Fraction of the allowance that is refilled in each window. */
    private static final double REFILL_FRACTION = 0.35;

    private final Clock mClock;
    private final Duration mWindow;
    private final long mStartedNanos;
    private final Map<PoolId, RetryBudget> mBudgets = new HashMap<>();
    private double mShare;
    private double mFleetAllowance;
    private int mNodes;
    private long mLastRefillNanos;

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
        budget(pool).onRequest();
    }

    /** Takes one retry from the budget of a pool; returns false if none is left. */
    public boolean tryAcquireRetry(PoolId pool) {
        refill();
        return budget(pool).tryAcquire();
    }

    private void updateLimits() {
        mBudgets.values()
                .forEach(budget -> budget.setLimits(USED_FRACTION * mShare, burstTokens()));
    }

    private RetryBudget budget(PoolId pool) {
        return mBudgets.computeIfAbsent(pool, id -> newBudget());
    }

    private RetryBudget newBudget() {
        var budget = RetryBudget.createEmpty(USED_FRACTION * mShare, burstTokens());
        budget.addTokens(refillTokens(mLastRefillNanos - mStartedNanos));
        return budget;
    }

    private void refill() {
        long now = mClock.monotonicTime();
        double tokens = refillTokens(now - mLastRefillNanos);
        mLastRefillNanos = now;
        mBudgets.values().forEach(budget -> budget.addTokens(tokens));
    }

    /** Returns the tokens that are refilled in this time. */
    private double refillTokens(long nanos) {
        return REFILL_FRACTION * mFleetAllowance / mNodes * nanos / mWindow.toNanos();
    }

    /**
     * Returns the maximum number of saved tokens; with less than one token no retry would ever be
     * allowed.
     */
    private double burstTokens() {
        return Math.max(1, BURST_FRACTION * mFleetAllowance / mNodes);
    }
}
