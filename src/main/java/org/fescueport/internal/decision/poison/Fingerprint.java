package org.fescueport.internal.decision.poison;

import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.claim.ContentHash;

/** Identity of a request across repeated submissions: its team and its content. */
public record Fingerprint(TeamId team, ContentHash content) {
    /** Returns the fingerprint of a request. */
    public static Fingerprint of(TeamId team, ContentHash content) {
        return new Fingerprint(team, content);
    }
}
