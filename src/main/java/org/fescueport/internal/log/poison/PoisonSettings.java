package org.fescueport.internal.log.poison;

import org.fescueport.internal.decision.poison.PoisonTracker;

/**
 * Settings of the protection against requests that kill backend servers.
 *
 * @param pollMillis time between two readings of the stream
 * @param callTimeoutMillis time for which a trial's record is waited for
 * @param unsentRecords own records that wait for the log
 */
public record PoisonSettings(
        PoisonTracker.Limits limits, long pollMillis, long callTimeoutMillis, int unsentRecords) {
    /** Returns the settings that serve at the size that is planned for. */
    public static PoisonSettings standard() {
        return new PoisonSettings(
                new PoisonTracker.Limits(10_000, 86_400_000, 120_000), 5_000, 1_000, 1_000);
    }
}
