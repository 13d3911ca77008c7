package org.fescueport.internal.log.claim;

import java.util.concurrent.CompletableFuture;
import org.fescueport.internal.decision.claim.ClaimRecord;
import org.fescueport.internal.decision.claim.ClaimVerdict;

/**
 * A process that decides claims: this one, or another one by a call. Every future ends, at the
 * latest by a timeout.
 */
public interface ClaimPort {
    /**
     * Appends the claim and returns what the log says of it. The same claim may be sent again, also
     * to another process; the verdict is the same. A future that fails says nothing.
     */
    CompletableFuture<ClaimVerdict> decide(ClaimRecord.Claim claim);

    /**
     * Appends a record that asks for no verdict and returns whether it surely stands in the log.
     * Sending it again does no harm.
     */
    CompletableFuture<Boolean> note(ClaimRecord record);
}
