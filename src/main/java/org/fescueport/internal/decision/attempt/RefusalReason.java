package org.fescueport.internal.decision.attempt;

/** Why an attempt is never to be run. */
public enum RefusalReason {
    /** Admission said no: above the bound, the limits or the team's share. */
    OVERLOADED,
    /** The backend server does not answer its health check. */
    BACKEND_DOWN,
    /** No more answers can be kept. */
    ANSWERS_FULL,
    /** Its deadline passed before it was started. */
    DEADLINE_PASSED,
    /** The router gave it up. */
    GIVEN_UP,
    /** The caller went away before it was started. */
    CANCELLED,
    /** A newer attempt at the same request has arrived. */
    SUPERSEDED,
    /** Another attempt at a request that may not be repeated was started here. */
    ALREADY_RUN,
    /** The agent is leaving. */
    LEAVING,
    /** The engine has nothing loaded, or loads. */
    NOT_SERVING,
    /** The agent has no memory left to follow another request. */
    REGISTER_FULL,
    /** The frame was meant for another incarnation of the agent. */
    OTHER_INCARNATION,
    /** The claim of its idempotency key was not won. */
    CLAIM_REFUSED,
    /** The request has killed two backend servers. */
    POISON
}
