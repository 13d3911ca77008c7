package org.fescueport.internal.decision.claim;

/** Random 128-bit id of a claim, by which the claim is identified in the log. */
public record ClaimNonce(long high, long low) {
    /** Returns the nonce with these upper and lower 64 bits. */
    public static ClaimNonce of(long high, long low) {
        return new ClaimNonce(high, low);
    }
}
