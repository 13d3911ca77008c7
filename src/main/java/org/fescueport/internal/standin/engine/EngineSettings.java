package org.fescueport.internal.standin.engine;

import java.time.Duration;

/**
 * Size and speed of a stand-in engine.
 *
 * @param step time of one token step with one running sequence
 * @param batchSlowdown share by which each further running sequence lengthens a step
 * @param prefillPerToken time that a prompt token costs which is not cached
 * @param maxBatch sequences that run at once
 * @param maxWaiting sequences that wait at most; more are refused
 * @param cacheBlocks blocks of the prefix cache
 * @param checksFencing whether an order with an older fencing token is refused
 */
public record EngineSettings(
        Duration step,
        double batchSlowdown,
        Duration prefillPerToken,
        int maxBatch,
        int maxWaiting,
        int cacheBlocks,
        boolean checksFencing) {
    /** Returns the settings of a small engine, as a base for others. */
    public static EngineSettings small() {
        return new EngineSettings(
                Duration.ofMillis(20), 0.02, Duration.ofNanos(100_000), 32, 4096, 4096, true);
    }
}
