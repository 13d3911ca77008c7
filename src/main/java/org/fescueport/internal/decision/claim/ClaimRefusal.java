package org.fescueport.internal.decision.claim;

/** Why a claim is refused; it is then surely not run. */
public enum ClaimRefusal {
    /** The key is not a UUID of version 7. */
    NOT_UUID_V7,
    /** The key is older than the window, or than what is known of the log. */
    TOO_OLD,
    /** The key's time lies in the future. */
    FROM_THE_FUTURE,
    /** The key was used by another team. */
    OTHER_TEAM,
    /** The key was used for another operation or content. */
    OTHER_CONTENT,
    /** The log is down, or its answer cannot be relied on. */
    LOG_UNAVAILABLE,
    /** The log takes longer than the request can wait. */
    LOG_SLOW,
    /** The claim was void or given back; a new one may win. */
    TRY_AGAIN,
    /** No memory or append rate is left for more claims. */
    OVERLOADED,
    /** The request's deadline has passed. */
    DEADLINE_PASSED,
    /** The owner-bound key was issued by another agent or incarnation, or is forgotten. */
    OTHER_OWNER
}
