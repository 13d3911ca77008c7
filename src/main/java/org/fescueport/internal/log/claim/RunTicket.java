package org.fescueport.internal.log.claim;

import org.fescueport.internal.decision.claim.ClaimNonce;
import org.fescueport.internal.decision.claim.IdempotencyKey;

/** The right to run a key once, before its deadline, at the agent that holds the claim. */
public record RunTicket(IdempotencyKey key, ClaimNonce nonce, long deadlineMillis) {}
