package org.fescueport.internal.decision.ejection;

import java.time.Duration;

/**
 * Settings of the ejection of failing replicas.
 *
 * @param consecutiveFailures number of consecutive failures after which a replica is ejected
 * @param failingDomainReplicas number of replicas of a failure domain whose consecutive failures
 *     eject the domain as a whole
 * @param maxEjectedShare largest fraction of a pool that is ejected at the same time, in addition
 *     to one lost failure domain
 * @param baseEjectionTime duration of the first ejection of a replica, doubled for each further one
 * @param maxEjectionTime longest duration of an ejection
 * @param rampUpTime time over which the traffic ramps up after an ejection
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
