package org.fescueport.internal.decision.admission;

import org.fescueport.internal.decision.placement.LoadBound;

/**
 * Limits of one replica.
 *
 * @param maxRunning requests that run at the same time
 * @param maxQueued requests that wait
 * @param loadBound load beside the pool's mean
 */
public record AdmissionLimits(int maxRunning, int maxQueued, LoadBound loadBound) {
    public AdmissionLimits {
        if (maxRunning < 1 || maxQueued < 0) {
            throw new IllegalArgumentException(
                    "limits are positive: " + maxRunning + ", " + maxQueued);
        }
    }
}
