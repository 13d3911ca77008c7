package org.fescueport.internal.load.experiment;

import org.fescueport.internal.decision.placement.LoadBound;

/**
 * Sizes of the fakes of one experiment.
 *
 * @param cacheTokens tokens that each replica's prefix cache holds
 * @param maxRunning requests that a replica runs at the same time
 * @param listLagNanos most by which a router's list of replicas is behind
 * @param flapShare share of replicas that a router's list lacks at any moment
 */
record FleetSettings(
        int routers,
        int replicas,
        int domains,
        long cacheTokens,
        int maxRunning,
        int maxQueued,
        LoadBound bound,
        long listLagNanos,
        double flapShare) {
    /** Decode speed of one request in tokens a second: 30 ms between tokens. */
    static final double DECODE_PER_SECOND = 33.3;

    static final double PREFILL_PER_SECOND = 8_000;

    private static final double LEAK = 0.02;

    /** Returns how fast estimates of the mean leak towards the own load. */
    double leak() {
        return LEAK;
    }

    /** Returns the capacity of the whole fleet in requests of this size a second. */
    double capacity(double decodeTokens) {
        return replicas * maxRunning * DECODE_PER_SECOND / decodeTokens;
    }
}
