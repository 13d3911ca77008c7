package org.fescueport.internal.decision.admission;

/** What became of an offer. */
public sealed interface AdmissionDecision {
    /** Start it now. */
    record Admitted() implements AdmissionDecision {}

    /** It waits; a later {@link AdmissionQueue#poll} starts it or gives it up. */
    record Queued(long expectedWaitMillis) implements AdmissionDecision {}

    /** It is not run here. */
    record Refused(RefusalReason reason, long retryAfterMillis) implements AdmissionDecision {}
}
