package org.fescueport.internal.decision.claim;

import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;

/** A record of a claim stream. */
public sealed interface ClaimRecord {
    /** Returns the key that the record refers to. */
    IdempotencyKey key();

    /** Returns the nonce of the claim that the record refers to. */
    ClaimNonce nonce();

    /**
     * Requests the exclusive right to run the call of a key.
     *
     * @param validUntilMillis wall time in milliseconds; the claim is void if the log appends it
     *     after this time
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
        /** Returns whether both claims have the same operation and content; ignores the team. */
        public boolean isSameAction(Claim other) {
            return operation.equals(other.operation) && content.equals(other.content);
        }
    }

    /**
     * The claim has not been run and never will be, whether it appears in the log before or after
     * this record.
     */
    record GivenBack(IdempotencyKey key, ClaimNonce nonce) implements ClaimRecord {}

    /** The claimed call was run and gave this answer. */
    record Finished(IdempotencyKey key, ClaimNonce nonce, StoredAnswer answer)
            implements ClaimRecord {}
}
