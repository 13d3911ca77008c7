package org.fescueport.internal.decision.claim;

/** Reason for which an idempotency key is not accepted. */
public enum KeyRefusal {
    /** The key is not a version 7 UUID in the standard text form (RFC 9562). */
    NOT_UUID_V7,
    /** The key is older than the window, so the record of an earlier run may no longer exist. */
    TOO_OLD,
    /** The time in the key lies in the future by more than the allowed clock skew. */
    FROM_THE_FUTURE
}
