package org.fescueport.internal.decision.poison;

import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.claim.ContentHash;

/** What makes two requests the same one, sent again: team and content. */
public record Fingerprint(TeamId team, ContentHash content) {
    /** Returns the fingerprint of a request. */
    public static Fingerprint of(TeamId team, ContentHash content) {
        return new Fingerprint(team, content);
    }
}
