package org.fescueport.internal.direct.place;

import java.util.HashMap;
import java.util.Map;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.retry.RetryBudget;

/**
 * This node's part of the retries that the whole fleet may send to each pool.
 *
 * <p>The share goes with this node's own requests, so it needs no agreement; of the fixed allowance
 * each node takes an equal part. Some of both is left over for nodes that come and go.
 */
public final class RetryBudgets {
    /** Part of what is allowed that is used. */
    private static final double USED_PART = 0.75;

    private double mShare;
    private double mFleetAllowance;
    private final Map<PoolId, RetryBudget> mBudgets = new HashMap<>();
    private int mNodes = 1;

    private RetryBudgets(double share, double fleetAllowance) {
        mShare = share;
        mFleetAllowance = fleetAllowance;
    }

    /**
     * Returns full budgets.
     *
     * @param share retries for each request, of the whole fleet
     * @param fleetAllowance retries in a window beyond that, of the whole fleet
     */
    public static RetryBudgets create(double share, double fleetAllowance, int nodes) {
        var budgets = new RetryBudgets(share, fleetAllowance);
        budgets.mNodes = Math.max(1, nodes);
        return budgets;
    }

    /** Notes how many nodes share the allowance; budgets begin anew when there are more. */
    public void onNodes(int nodes) {
        if (nodes > mNodes) {
            mNodes = nodes;
            mBudgets.clear();
        }
    }

    /** Takes changed limits; budgets begin anew. */
    public void onLimits(double share, double fleetAllowance) {
        if (share != mShare || fleetAllowance != mFleetAllowance) {
            mShare = share;
            mFleetAllowance = fleetAllowance;
            mBudgets.clear();
        }
    }

    /** Notes a caller's request to a pool. */
    public void onRequest(PoolId pool) {
        budget(pool).onRequest();
    }

    /** Takes one retry; false when none is left. */
    public boolean tryTake(PoolId pool) {
        return budget(pool).tryTake();
    }

    private RetryBudget budget(PoolId pool) {
        double allowance = Math.max(1, USED_PART * mFleetAllowance / mNodes);
        return mBudgets.computeIfAbsent(
                pool, id -> RetryBudget.create(USED_PART * mShare, allowance));
    }
}
