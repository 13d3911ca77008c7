package org.fescueport.internal.decision.admission;

import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.Work;

/**
 * A request offered to a replica for running.
 *
 * @param teamWeight weight of its team relative to other teams; positive
 * @param priority priority class; 0 is the most urgent
 * @param deadlineNanos time by which the complete answer is due
 * @param leastRefusedTokens load, in tokens, that another replica reported when it refused this
 *     request, set once several replicas have refused it; else 0
 */
public record WorkOffer(
        AttemptId id,
        TeamId team,
        double teamWeight,
        int priority,
        long deadlineNanos,
        Work work,
        long leastRefusedTokens) {
    /** Creates an offer that no other replica has refused. */
    public WorkOffer(
            AttemptId id,
            TeamId team,
            double teamWeight,
            int priority,
            long deadlineNanos,
            Work work) {
        this(id, team, teamWeight, priority, deadlineNanos, work, 0);
    }

    public WorkOffer {
        if (!(teamWeight > 0)) {
            throw new IllegalArgumentException("weight of team " + team + " must be positive");
        }
    }
}
