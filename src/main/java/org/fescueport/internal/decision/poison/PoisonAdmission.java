package org.fescueport.internal.decision.poison;

/** Whether a request may run, given the backend server crashes that are attributed to it. */
public sealed interface PoisonAdmission {
    /** The request is not a suspect. */
    record Allowed() implements PoisonAdmission {}

    /**
     * The request is a suspect and this backend server holds its trial: run it while no other
     * request runs on the server.
     */
    record RunAlone() implements PoisonAdmission {}

    /** The request is a suspect without a trial: append a trial to the log. */
    record NeedsTrial() implements PoisonAdmission {}

    /** The request is a suspect and must not run on this backend server now. */
    record RetryLater(long retryAfterMillis) implements PoisonAdmission {}

    /** Two backend servers crashed because of the request: it is refused permanently. */
    record Poison(int crashes) implements PoisonAdmission {}
}
