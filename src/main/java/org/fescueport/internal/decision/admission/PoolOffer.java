package org.fescueport.internal.decision.admission;

import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.TeamId;

/**
 * A request offered for sending to one of the replicas of a pool.
 *
 * @param urgency as computed by {@link Urgency}; 0 is the most urgent
 * @param objectiveDeadlineNanos time by which the first byte of the response is due: the time of
 *     arrival plus the latency objective
 * @param objectiveNanos latency objective: the time to the first byte within which a response is of
 *     most value, in nanoseconds
 * @param deadlineNanos time after which the caller no longer waits for the response
 */
public record PoolOffer(
        AttemptId id,
        TeamId team,
        int urgency,
        long objectiveDeadlineNanos,
        long objectiveNanos,
        long deadlineNanos) {}
