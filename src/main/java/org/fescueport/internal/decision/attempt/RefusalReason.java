package org.fescueport.internal.decision.attempt;

/** Reason for which an attempt must never run. */
public enum RefusalReason {
    /** Admission control refused it: it exceeds the load bound, a limit or the team's share. */
    OVERLOADED,
    /** The backend server does not answer its health check. */
    BACKEND_DOWN,
    /** The answer buffer is full, or it holds a newer attempt at the request. */
    ANSWERS_FULL,
    /** The deadline passed before the attempt was started. */
    DEADLINE_PASSED,
    /** The router abandoned the attempt. */
    GIVEN_UP,
    /** The caller disconnected before the attempt was started. */
    CANCELLED,
    /** A newer attempt at the same request arrived at the agent. */
    SUPERSEDED,
    /** Another attempt at the request, which is not repeatable, was started at this agent. */
    ALREADY_RUN,
    /** The agent is leaving the fleet and accepts no new work. */
    LEAVING,
    /** The engine has no model loaded, or is still loading it. */
    NOT_SERVING,
    /** The attempt register is full. */
    REGISTER_FULL,
    /** The frame was addressed to another incarnation of the agent. */
    OTHER_INCARNATION,
    /** The claim for its idempotency key did not win. */
    CLAIM_REFUSED,
    /** Backend servers crashed while they ran the request; two crashes exclude it permanently. */
    POISON
}
