package org.fescueport.internal.decision.placement;

/**
 * How much outstanding work one replica may carry beside the mean of its pool.
 *
 * <p>No replica is to carry more than {@code factor} times the mean. Admissions stop short of that,
 * since the mean is an estimate and falls while work is under way. An idle replica takes any
 * request, and below {@code floorTokens} a replica is never held to be too loaded.
 *
 * <pre>{@code
 * LoadBound bound = LoadBound.of(model.loadBound(), FLOOR_TOKENS);
 * boolean fits = bound.admits(outstanding, requestTokens, mean);
 * }</pre>
 */
public record LoadBound(double factor, long floorTokens) {
    /** Part of the distance from the mean to the bound that admissions use. */
    private static final double ADMITTED_FRACTION = 0.6;

    public LoadBound {
        if (!(factor >= 1)) {
            throw new IllegalArgumentException("a load bound is at least 1, not " + factor);
        }
    }

    /** Returns the bound with this factor and floor. */
    public static LoadBound of(double factor, long floorTokens) {
        return new LoadBound(factor, floorTokens);
    }

    /** Returns the load up to which requests are admitted while the pool's mean is this. */
    public double limit(double meanTokens) {
        return Math.max((1 + ADMITTED_FRACTION * (factor - 1)) * meanTokens, floorTokens);
    }

    /** Returns whether a replica with this load may take that request on top. */
    public boolean admits(double loadTokens, double requestTokens, double meanTokens) {
        return loadTokens <= 0 || loadTokens + requestTokens <= limit(meanTokens);
    }
}
