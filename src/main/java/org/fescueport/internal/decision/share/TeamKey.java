package org.fescueport.internal.decision.share;

import org.fescueport.internal.decision.TeamId;

/**
 * Short name of a team in what nodes tell one another. Teams with the same key are counted as one.
 */
public record TeamKey(int value) {
    /** Returns the key that all nodes derive from the team's name. */
    public static TeamKey of(TeamId team) {
        return new TeamKey(team.name().hashCode());
    }
}
