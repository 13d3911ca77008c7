package org.fescueport.internal.decision.transfer;

import org.fescueport.internal.decision.transfer.TransferPlan.Kind;

/**
 * Chooses how to provide the KV cache of a chat that cannot run at once on the replica that holds
 * the cache: import the cache, rebuild it, or wait for the holder. The expected times are learned
 * from measurements. This class is not thread-safe.
 *
 * <pre>{@code
 * TransferPlan plan = costs.plan(request);
 * costs.onImport(tokens, millis);
 * }</pre>
 */
public final class TransferCosts {
    /**
     * The properties of a request on which the plan depends.
     *
     * @param cachedTokens prompt tokens that the holder has in its cache
     * @param holderWaitMillis time until the holder can start the request; negative if it never can
     * @param targetWaitMillis time until the other replica can start the request
     * @param serviceMillis time for the remaining work: new prompt tokens and the response
     * @param deadlineInMillis time left until the deadline
     */
    public record Request(
            long cachedTokens,
            long holderWaitMillis,
            long targetWaitMillis,
            long serviceMillis,
            long deadlineInMillis) {}

    private static final double LEARNING_RATE = 0.2;

    /** Cost of one millisecond of delay for the caller, in milliseconds of engine time. */
    private static final double WAIT_COST_FACTOR = 0.25;

    /** Fraction of the duration of an import during which it uses the engine. */
    private static final double IMPORT_COST_FACTOR = 0.1;

    private double mImportFixedMillis;
    private double mImportMillisPerToken;
    private double mRebuildMillisPerToken;

    private TransferCosts(double fixed, double importPerToken, double rebuildPerToken) {
        mImportFixedMillis = fixed;
        mImportMillisPerToken = importPerToken;
        mRebuildMillisPerToken = rebuildPerToken;
    }

    /** Returns costs with the given initial estimates. */
    public static TransferCosts withInitialCosts(
            double importFixedMillis, double importMillisPerToken, double rebuildMillisPerToken) {
        return new TransferCosts(importFixedMillis, importMillisPerToken, rebuildMillisPerToken);
    }

    /** Updates the estimates with the measured duration of an import. */
    public void onImport(long tokens, long millis) {
        double error = millis - importMillis(tokens);
        double scale = 1 + (double) tokens * tokens;
        mImportFixedMillis = Math.max(0, mImportFixedMillis + LEARNING_RATE * error / scale);
        double slope = mImportMillisPerToken + LEARNING_RATE * error * tokens / scale;
        mImportMillisPerToken = Math.max(0, slope);
    }

    /** Updates the estimates with the measured duration of a prefill. */
    public void onRebuild(long tokens, long millis) {
        if (tokens > 0) {
            double measured = (double) millis / tokens;
            mRebuildMillisPerToken += LEARNING_RATE * (measured - mRebuildMillisPerToken);
        }
    }

    /** Returns the expected duration of an import. */
    public double importMillis(long tokens) {
        return mImportFixedMillis + mImportMillisPerToken * tokens;
    }

    /** Returns the expected time to rebuild the cache. */
    public double rebuildMillis(long tokens) {
        return mRebuildMillisPerToken * tokens;
    }

    /** Returns the cheapest plan that meets the deadline, or the fastest plan if none does. */
    public TransferPlan plan(Request request) {
        double importTime = importMillis(request.cachedTokens());
        double rebuildTime = rebuildMillis(request.cachedTokens());
        var plan =
                plan(request, Kind.REBUILD, request.targetWaitMillis() + rebuildTime, rebuildTime);
        if (request.cachedTokens() == 0) {
            return plan;
        }
        // The import runs while the request is queued at the other replica.
        double imported = Math.max(request.targetWaitMillis(), importTime);
        plan = plan.betterOf(plan(request, Kind.IMPORT, imported, IMPORT_COST_FACTOR * importTime));
        if (request.holderWaitMillis() < 0) {
            return plan;
        }
        return plan.betterOf(plan(request, Kind.WAIT, request.holderWaitMillis(), 0));
    }

    private static TransferPlan plan(
            Request request, Kind kind, double delayMillis, double engineMillis) {
        double total = delayMillis + request.serviceMillis();
        boolean meetsDeadline = total <= request.deadlineInMillis();
        double cost = engineMillis + WAIT_COST_FACTOR * delayMillis;
        return new TransferPlan(kind, Math.round(delayMillis), cost, meetsDeadline);
    }
}
