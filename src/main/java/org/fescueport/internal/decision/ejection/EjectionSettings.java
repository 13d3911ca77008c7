package org.fescueport.internal.decision.ejection;

import java.time.Duration;

/**
 * When replicas are ejected.
 *
 * @param failures failures in a row that eject a replica
 * @param domainReplicas replicas of a failure domain whose failures in a row eject it as one
 * @param maxShare largest part of a pool that is ejected at once, beside one lost failure domain
 * @param baseTime time for which a replica is ejected the first time; doubled each further time
 * @param maxTime longest time for which it is ejected
 * @param rampTime time over which its traffic grows back
 */
public record EjectionSettings(
        int failures,
        int domainReplicas,
        double maxShare,
        Duration baseTime,
        Duration maxTime,
        Duration rampTime) {
    /** Returns settings that suit most pools. */
    public static EjectionSettings standard() {
        return new EjectionSettings(
                3, 3, 0.25, Duration.ofSeconds(5), Duration.ofSeconds(60), Duration.ofSeconds(20));
    }
}
