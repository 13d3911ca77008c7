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
 * <p>The share goes with this node's own requests, so it needs no agreement; of the fixed allowance
 * each node takes an equal part, some of it saved and some of it coming with time. A node begins
 * without tokens, so that starts and changed numbers of nodes don't add up to more than the fleet's
 * limit.
 */
public final class RetryBudgets {
    /** Part of the share that is used. */
    private static final double USED_FRACTION = 0.75;

    /** Part of the allowance that may be saved up for a bad moment. */
    private static final double BURST_FRACTION = 0.4;

    /** Part of the allowance that comes anew in each window. */
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
     * Returns budgets that requests and time have yet to fill.
     *
     * @param share retries for each request, of the whole fleet
     * @param fleetAllowance retries in a window beyond that, of the whole fleet
     * @param window in which the fleet's retries are counted
     * @param nodes that share the allowance
     */
    public static RetryBudgets create(
            double share, double fleetAllowance, Duration window, int nodes, Clock clock) {
        var budgets = new RetryBudgets(share, fleetAllowance, window, clock);
        budgets.mNodes = Math.max(1, nodes);
        return budgets;
    }

    /** Notes how many nodes share the allowance; of those that are gone the part stays unused. */
    public void onNodes(int nodes) {
        if (nodes > mNodes) {
            refill();
            mNodes = nodes;
            updateLimits();
        }
    }

    /** Takes changed limits. */
    public void onLimits(double share, double fleetAllowance) {
        refill();
        mShare = share;
        mFleetAllowance = fleetAllowance;
        updateLimits();
    }

    /** Notes a caller's request to a pool. */
    public void onRequest(PoolId pool) {
        budget(pool).onRequest();
    }

    /** Takes one retry; false when none is left. */
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

    /** Returns the tokens that come in this time. */
    private double refillTokens(long nanos) {
        return REFILL_FRACTION * mFleetAllowance / mNodes * nanos / mWindow.toNanos();
    }

    /** Below one token no retry could ever be taken. */
    private double burstTokens() {
        return Math.max(1, BURST_FRACTION * mFleetAllowance / mNodes);
    }
}
