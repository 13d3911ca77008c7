package org.fescueport.internal.decision.admission;

import org.fescueport.internal.decision.placement.LoadBound;

/**
 * Admission limits of one replica.
 *
 * @param maxRunning maximum number of requests that run at the same time; at least 1
 * @param maxQueued maximum number of queued requests; at least 0
 * @param loadBound bound on the replica's load, relative to the mean load of its pool
 */
public record AdmissionLimits(int maxRunning, int maxQueued, LoadBound loadBound) {
    public AdmissionLimits {
        if (maxRunning < 1 || maxQueued < 0) {
            throw new IllegalArgumentException(
                    "limits out of range (maxRunning, maxQueued): "
                            + maxRunning
                            + ", "
                            + maxQueued);
        }
    }
}
