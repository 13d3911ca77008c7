package org.fescueport.internal.decision.claim;

/** Why an idempotency key is not accepted. */
public enum KeyRefusal {
    /** It is not a UUID of version 7 in its usual text form (RFC 9562). */
    NOT_UUID_V7,
    /** Its time lies before the window: whether it was run may have been forgotten. */
    TOO_OLD,
    /** Its time lies in the future by more than the clocks' skew. */
    FROM_THE_FUTURE
}
