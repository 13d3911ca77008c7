package org.fescueport.internal.log.claim;

import org.fescueport.internal.decision.claim.ClaimPartitions;
import org.fescueport.internal.decision.claim.KeyWindow;

/**
 * Settings of claims, the same in all processes of a fleet.
 *
 * @param partitions the claim streams; their count is fixed for good
 * @param window ages of keys that are accepted
 * @param appendsPerSecond appends of all claim streams together
 * @param keysPerPartition keys of a partition that one process remembers
 * @param keysInAll keys of all partitions above which one process drops partitions that it does not
 *     use; it reads them again when a claim comes
 * @param waitingPerPartition claims of a partition that wait in one process
 * @param callTimeoutMillis time after which a call to the log counts as lost
 * @param backoffMillis time after a failed call in which claims are refused at once
 * @param claimTimeoutMillis time for which an agent waits for a verdict
 */
public record ClaimSettings(
        ClaimPartitions partitions,
        KeyWindow window,
        int appendsPerSecond,
        int keysPerPartition,
        int keysInAll,
        int waitingPerPartition,
        long callTimeoutMillis,
        long backoffMillis,
        long claimTimeoutMillis) {
    private static final long SECOND_MILLIS = 1_000;

    /** Returns the settings that serve at the size that is planned for. */
    public static ClaimSettings standard() {
        return new ClaimSettings(
                new ClaimPartitions(32),
                new KeyWindow(600_000, 30_000),
                96,
                5_000,
                20_000,
                1_000,
                1_000,
                500,
                2_500);
    }

    /** Returns the least time between two appends to one partition by one process. */
    long appendIntervalMillis() {
        return SECOND_MILLIS * partitions.count() / appendsPerSecond;
    }
}
