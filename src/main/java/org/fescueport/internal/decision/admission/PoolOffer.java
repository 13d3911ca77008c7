package org.fescueport.internal.decision.admission;

import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.TeamId;

/**
 * A request that asks to be sent to one of the replicas of a pool.
 *
 * @param urgency as {@link Urgency} tells it; 0 is the most urgent
 * @param objectiveDeadlineNanos time until which its first piece is worth most
 * @param objectiveNanos from sending to the first piece of an answer that is worth most
 * @param deadlineNanos time after which nobody waits for it
 */
public record PoolOffer(
        AttemptId id,
        TeamId team,
        int urgency,
        long objectiveDeadlineNanos,
        long objectiveNanos,
        long deadlineNanos) {}
