package org.fescueport.internal.security;

/** Why a token is not accepted. */
public enum TokenRefusal {
    /** It is not in the form of a token, or of a version that is not known. */
    MALFORMED,
    /** Its key is not in the key ring, or is no longer accepted. */
    UNKNOWN_KEY,
    /** Its signature does not match its content. */
    FORGED,
    /** It was made for another purpose. */
    OTHER_PURPOSE,
    /** It is genuine and its time is over. */
    EXPIRED,
    /** It is genuine and belongs to another team. */
    OTHER_TEAM
}
