package org.fescueport.internal.decision.admission;

import java.time.Duration;

/**
 * What a node may rely on of the load balancer before it.
 *
 * @param noticeTime longest time until it no longer selects a node that is not ready, where it has
 *     a choice
 * @param connectTime longest time in which a caller opens a connection that has been assigned
 */
public record LoadBalancerTimes(Duration noticeTime, Duration connectTime) {}
