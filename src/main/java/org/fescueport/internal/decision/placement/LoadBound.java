package org.fescueport.internal.decision.placement;

/**
 * Limits the outstanding work of a replica relative to the mean of its pool.
 *
 * <p>No replica should carry more than {@code factor} times the mean. Requests are admitted only up
 * to a lower limit, since the mean is an estimate and decreases while work is in progress. An idle
 * replica accepts any request, and a load up to {@code floorTokens} is always within the limit.
 *
 * @param factor largest ratio of a replica's load to the pool's mean, at least 1
 * @param floorTokens lower bound of the limit, in tokens
 *     <pre>{@code
 * LoadBound bound = LoadBound.of(model.loadBound(), FLOOR_TOKENS);
 * boolean fits = bound.admits(outstanding, requestTokens, mean);
 * }</pre>
 */
public record LoadBound(double factor, long floorTokens) {
    /** Fraction of the range between the mean and the bound up to which requests are admitted. */
    private static final double ADMITTED_FRACTION = 0.6;

    public LoadBound {
        if (!(factor >= 1)) {
            throw new IllegalArgumentException(
                    "load bound factor must be at least 1, but was " + factor);
        }
    }

    /** Returns a bound with the given factor and floor. */
    public static LoadBound of(double factor, long floorTokens) {
        return new LoadBound(factor, floorTokens);
    }

    /** Returns the load, in tokens, up to which requests are admitted at the given mean. */
    public double limit(double meanTokens) {
        return Math.max((1 + ADMITTED_FRACTION * (factor - 1)) * meanTokens, floorTokens);
    }

    /** Returns whether a replica with the given load may accept the request. */
    public boolean admits(double loadTokens, double requestTokens, double meanTokens) {
        return loadTokens <= 0 || loadTokens + requestTokens <= limit(meanTokens);
    }
}
