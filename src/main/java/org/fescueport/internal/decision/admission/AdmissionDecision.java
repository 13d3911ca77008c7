package org.fescueport.internal.decision.admission;

/** The result of an offer to an admission queue. */
public sealed interface AdmissionDecision {
    /** Start it now. */
    record Admitted() implements AdmissionDecision {}

    /** It is queued; a later {@link AdmissionQueue#poll} starts or drops it. */
    record Queued(long expectedWaitMillis) implements AdmissionDecision {}

    /** It is not run here. */
    record Refused(RefusalReason reason, long retryAfterMillis) implements AdmissionDecision {}
}
