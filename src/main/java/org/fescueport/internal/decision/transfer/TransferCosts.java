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

    private static final double GAIN = 0.2;

    /** Cost of a millisecond that a caller waits, in milliseconds of an engine's work. */
    private static final double WAIT_COST = 0.25;

    /** Part of an import's time for which it takes the engine's work. */
    private static final double IMPORT_COST = 0.1;

    private double mImportFixedMillis;
    private double mImportMillisPerToken;
    private double mRebuildMillisPerToken;

    private TransferCosts(double fixed, double importPerToken, double rebuildPerToken) {
        mImportFixedMillis = fixed;
        mImportMillisPerToken = importPerToken;
        mRebuildMillisPerToken = rebuildPerToken;
    }

    /** Returns costs to start from. */
    public static TransferCosts startingAt(
            double importFixedMillis, double importMillisPerToken, double rebuildMillisPerToken) {
        return new TransferCosts(importFixedMillis, importMillisPerToken, rebuildMillisPerToken);
    }

    /** Learns from an import that was seen. */
    public void onImport(long tokens, long millis) {
        double error = millis - importMillis(tokens);
        double scale = 1 + (double) tokens * tokens;
        mImportFixedMillis = Math.max(0, mImportFixedMillis + GAIN * error / scale);
        double slope = mImportMillisPerToken + GAIN * error * tokens / scale;
        mImportMillisPerToken = Math.max(0, slope);
    }

    /** Learns from a prefill that was seen. */
    public void onRebuild(long tokens, long millis) {
        if (tokens > 0) {
            double seen = (double) millis / tokens;
            mRebuildMillisPerToken += GAIN * (seen - mRebuildMillisPerToken);
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
        double importing = importMillis(request.cachedTokens());
        double rebuilding = rebuildMillis(request.cachedTokens());
        var plan = plan(request, Kind.REBUILD, request.targetWaitMillis() + rebuilding, rebuilding);
        if (request.cachedTokens() == 0) {
            return plan;
        }
        // An import runs while the request waits for its turn.
        double imported = Math.max(request.targetWaitMillis(), importing);
        plan = plan.better(plan(request, Kind.IMPORT, imported, IMPORT_COST * importing));
        if (request.holderWaitMillis() < 0) {
            return plan;
        }
        return plan.better(plan(request, Kind.WAIT, request.holderWaitMillis(), 0));
    }

    private static TransferPlan plan(
            Request request, Kind kind, double delayMillis, double engineMillis) {
        double total = delayMillis + request.serviceMillis();
        boolean inTime = total <= request.deadlineInMillis();
        double cost = engineMillis + WAIT_COST * delayMillis;
        return new TransferPlan(kind, Math.round(delayMillis), cost, inTime);
    }
}
