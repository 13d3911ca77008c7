package org.fescueport.internal.decision.retry;

import org.fescueport.internal.decision.Outcome;

/**
 * An attempt that gave no answer.
 *
 * @param number of the attempt; 1 for the first
 * @param outcome of the attempt; not completed
 * @param busy whether the replica refused it for its load, and is in good health
 * @param repeatable whether running the request twice does no harm
 * @param remainingMillis time left until the request's deadline
 */
public record FailedAttempt(
        int number, Outcome outcome, boolean busy, boolean repeatable, long remainingMillis) {}
