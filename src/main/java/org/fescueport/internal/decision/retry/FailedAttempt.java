package org.fescueport.internal.decision.retry;

import org.fescueport.internal.decision.Outcome;

/**
 * An attempt that was not completed.
 *
 * @param number number of the attempt; 1 for the first
 * @param outcome outcome of the attempt; never {@link Outcome#COMPLETED}
 * @param busy whether a healthy replica refused the attempt because of its load
 * @param repeatable whether the request may safely be run more than once
 * @param remainingMillis time left until the deadline of the request
 */
public record FailedAttempt(
        int number, Outcome outcome, boolean busy, boolean repeatable, long remainingMillis) {}
