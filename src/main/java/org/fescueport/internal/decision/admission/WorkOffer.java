package org.fescueport.internal.decision.admission;

import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.Work;

/**
 * A request that asks to be run here.
 *
 * @param teamWeight share of its team beside the other teams' weights; positive
 * @param priority class of priority; 0 is the most urgent
 * @param deadlineNanos time by which the whole answer is due
 * @param leastRefusedTokens load that another replica told when it refused this request, once
 *     several have; 0 for none
 */
public record WorkOffer(
        AttemptId id,
        TeamId team,
        double teamWeight,
        int priority,
        long deadlineNanos,
        Work work,
        long leastRefusedTokens) {
    /** Makes an offer that no other replica has refused. */
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
            throw new IllegalArgumentException("weight of " + team + " is not positive");
        }
    }
}
