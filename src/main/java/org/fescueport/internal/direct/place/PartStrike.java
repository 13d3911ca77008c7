package org.fescueport.internal.direct.place;

import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.claim.ContentHash;

/**
 * States that a replica crashed with a request that has a prompt part.
 *
 * @param part hash of the {@link PromptPartId}
 * @param cleared whether a request with the part has been answered since, so that the crash had
 *     another cause
 */
public record PartStrike(ContentHash part, AgentIncarnation replica, boolean cleared) {
    /** Returns a strike that counts. */
    public static PartStrike of(ContentHash part, AgentIncarnation replica) {
        return new PartStrike(part, replica, false);
    }

    /** Returns that this strike does not count. */
    public PartStrike asCleared() {
        return new PartStrike(part, replica, true);
    }
}
