package org.fescueport.internal.log.poison;

import org.fescueport.internal.decision.poison.PoisonTracker;

/**
 * Settings of the protection against requests that crash backend servers.
 *
 * @param limits limits of the tracker of strikes and trials
 * @param pollMillis delay between two reads of the log stream
 * @param callTimeoutMillis time limit of a trial's append and read, and of a batch's append
 * @param unsentRecords maximum number of own records that wait for the log; beyond it the oldest
 *     one is dropped
 */
public record PoisonSettings(
        PoisonTracker.Limits limits, long pollMillis, long callTimeoutMillis, int unsentRecords) {
    /** Returns the settings for production. */
    public static PoisonSettings standard() {
        return new PoisonSettings(
                new PoisonTracker.Limits(10_000, 86_400_000, 120_000), 5_000, 1_000, 1_000);
    }
}
