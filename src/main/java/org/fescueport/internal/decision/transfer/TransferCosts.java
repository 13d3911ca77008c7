package org.fescueport.internal.decision.transfer;

import org.fescueport.internal.decision.transfer.TransferPlan.Kind;

/**
 * Chooses how a chat that cannot run where its KV cache is gets its cache: by import, by rebuilding
 * it, or by waiting for the holder. The costs are learnt from what was seen. Not safe for use by
 * several threads.
 *
 * <pre>{@code
 * TransferPlan plan = costs.plan(request);
 * costs.onImport(tokens, millis);
 * }</pre>
 */
public final class TransferCosts {
    /**
     * What is known of one request.
     *
     * @param cachedTokens tokens of its prompt that the holder has
     * @param holderWaitMillis time until the holder could start it; negative when it never will
     * @param targetWaitMillis time until the other replica could start it
     * @param serviceMillis time for the rest: new prompt tokens and the answer
     * @param deadlineInMillis time left until the deadline
     */
    public record Request(
            long cachedTokens,
            long holderWaitMillis,
            long targetWaitMillis,
            long serviceMillis,
            long deadlineInMillis) {}

    private static final double LEARNING_RATE = 0.2;

    /** Cost of a millisecond that a caller waits, in milliseconds of an engine's work. */
    private static final double WAIT_COST_FACTOR = 0.25;

    /** Part of an import's time for which it takes the engine's work. */
    private static final double IMPORT_COST_FACTOR = 0.1;

    private double mImportFixedMillis;
    private double mImportMillisPerToken;
    private double mRebuildMillisPerToken;

    private TransferCosts(double fixed, double importPerToken, double rebuildPerToken) {
        mImportFixedMillis = fixed;
        mImportMillisPerToken = importPerToken;
        mRebuildMillisPerToken = rebuildPerToken;
    }

    /** Returns costs to start from. */
    public static TransferCosts withInitialCosts(
            double importFixedMillis, double importMillisPerToken, double rebuildMillisPerToken) {
        return new TransferCosts(importFixedMillis, importMillisPerToken, rebuildMillisPerToken);
    }

    /** Learns from an import that was seen. */
    public void onImport(long tokens, long millis) {
        double error = millis - importMillis(tokens);
        double scale = 1 + (double) tokens * tokens;
        mImportFixedMillis = Math.max(0, mImportFixedMillis + LEARNING_RATE * error / scale);
        double slope = mImportMillisPerToken + LEARNING_RATE * error * tokens / scale;
        mImportMillisPerToken = Math.max(0, slope);
    }

    /** Learns from a prefill that was seen. */
    public void onRebuild(long tokens, long millis) {
        if (tokens > 0) {
            double measured = (double) millis / tokens;
            mRebuildMillisPerToken += LEARNING_RATE * (measured - mRebuildMillisPerToken);
        }
    }

    /** Returns the expected time of an import. */
    public double importMillis(long tokens) {
        return mImportFixedMillis + mImportMillisPerToken * tokens;
    }

    /** Returns the expected time to rebuild. */
    public double rebuildMillis(long tokens) {
        return mRebuildMillisPerToken * tokens;
    }

    /** Returns the cheapest plan that meets the deadline, or the fastest when none does. */
    public TransferPlan plan(Request request) {
        double importTime = importMillis(request.cachedTokens());
        double rebuildTime = rebuildMillis(request.cachedTokens());
        var plan =
                plan(request, Kind.REBUILD, request.targetWaitMillis() + rebuildTime, rebuildTime);
        if (request.cachedTokens() == 0) {
            return plan;
        }
        // An import runs while the request waits for its turn.
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
