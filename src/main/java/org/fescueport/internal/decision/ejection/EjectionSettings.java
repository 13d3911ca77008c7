package org.fescueport.internal.decision.ejection;

import java.time.Duration;

/**
 * When replicas are ejected.
 *
 * @param consecutiveFailures failures in a row that eject a replica
 * @param failingDomainReplicas replicas of a failure domain whose failures in a row eject it as one
 * @param maxEjectedShare largest part of a pool that is ejected at once, beside one lost failure
 *     domain
 * @param baseEjectionTime time for which a replica is ejected the first time; doubled each further
 *     time
 * @param maxEjectionTime longest time for which it is ejected
 * @param rampUpTime time over which its traffic grows back
 */
public record EjectionSettings(
        int consecutiveFailures,
        int failingDomainReplicas,
        double maxEjectedShare,
        Duration baseEjectionTime,
        Duration maxEjectionTime,
        Duration rampUpTime) {
    /** Returns settings that suit most pools. */
    public static EjectionSettings defaults() {
        return new EjectionSettings(
                3, 3, 0.25, Duration.ofSeconds(5), Duration.ofSeconds(60), Duration.ofSeconds(20));
    }
}
