package org.fescueport.internal.decision.claim;

/** Reason for which a claim is refused. A refused claim is guaranteed not to run. */
public enum ClaimRefusal {
    /** The key is not a version 7 UUID. */
    NOT_UUID_V7,
    /** The key is older than the key window, or older than the part of the log that was read. */
    TOO_OLD,
    /** The time in the key lies in the future. */
    FROM_THE_FUTURE,
    /** The key was used by another team. */
    OTHER_TEAM,
    /** The key was used with another operation or content. */
    OTHER_CONTENT,
    /** The log is unavailable, or its answer is not reliable. */
    LOG_UNAVAILABLE,
    /** The log did not answer within the time that the request can wait. */
    LOG_SLOW,
    /** The claim was void or was given back; a new claim may win. */
    TRY_AGAIN,
    /** The limits on open claims or on append rate leave no capacity for another claim. */
    OVERLOADED,
    /** The deadline of the request has passed. */
    DEADLINE_PASSED,
    /** Another agent or incarnation issued the owner-bound key, or the key is no longer known. */
    OTHER_OWNER
}
