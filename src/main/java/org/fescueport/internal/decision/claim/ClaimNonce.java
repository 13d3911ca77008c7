package org.fescueport.internal.decision.claim;

/** Random 128-bit name of one claim; it finds the claim again in the log. */
public record ClaimNonce(long high, long low) {
    /** Returns the nonce with these halves. */
    public static ClaimNonce of(long high, long low) {
        return new ClaimNonce(high, low);
    }
}
