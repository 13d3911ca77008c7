package org.fescueport.internal.decision.placement;

/**
 * How much outstanding work one replica may carry beside the mean of its pool.
 *
 * <p>The limit is {@code factor} times the mean. Requests cannot be divided, so a replica with less
 * than {@code floorTokens} is never held to be too loaded, whatever the mean, and an idle one takes
 * any request.
 *
 * <pre>{@code
 * LoadBound bound = LoadBound.of(model.loadBound(), FLOOR_TOKENS);
 * boolean fits = bound.admits(outstanding, requestTokens, mean);
 * }</pre>
 */
public record LoadBound(double factor, long floorTokens) {
    public LoadBound {
        if (!(factor >= 1)) {
            throw new IllegalArgumentException("a load bound is at least 1, not " + factor);
        }
    }

    /** Returns the bound with this factor and floor. */
    public static LoadBound of(double factor, long floorTokens) {
        return new LoadBound(factor, floorTokens);
    }

    /** Returns the most that a replica may carry while the pool's mean is this. */
    public double limit(double meanTokens) {
        return Math.max(factor * meanTokens, floorTokens);
    }

    /** Returns whether a replica with this load may take that request on top. */
    public boolean admits(double loadTokens, double requestTokens, double meanTokens) {
        return loadTokens <= 0 || loadTokens + requestTokens <= limit(meanTokens);
    }
}
