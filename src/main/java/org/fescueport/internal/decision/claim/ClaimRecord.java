package org.fescueport.internal.decision.claim;

import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;

/** A record of a claim stream. */
public sealed interface ClaimRecord {
    /** Returns the key that the record is about. */
    IdempotencyKey key();

    /** Returns the claim that the record is about. */
    ClaimNonce nonce();

    /**
     * Asks for the right to run a key.
     *
     * @param validUntilMillis the claim is void when the log appended it after this time
     */
    record Claim(
            IdempotencyKey key,
            ClaimNonce nonce,
            TeamId team,
            String operation,
            ContentHash content,
            AgentIncarnation holder,
            long validUntilMillis)
            implements ClaimRecord {
        /** Returns whether both claims are for the same action of the same team. */
        public boolean isSameAction(Claim other) {
            return operation.equals(other.operation) && content.equals(other.content);
        }
    }

    /** The claim has not been run and never will be, whether it stands before or after this. */
    record GivenBack(IdempotencyKey key, ClaimNonce nonce) implements ClaimRecord {}

    /** The claim was run, with this answer. */
    record Finished(IdempotencyKey key, ClaimNonce nonce, StoredAnswer answer)
            implements ClaimRecord {}
}
