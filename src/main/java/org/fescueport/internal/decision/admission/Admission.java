package org.fescueport.internal.decision.admission;

/** What became of an offer. */
public sealed interface Admission {
    /** Start it now. */
    record Admitted() implements Admission {}

    /** It waits; a later {@link AdmissionQueue#poll} starts it or gives it up. */
    record Queued(long expectedWaitMillis) implements Admission {}

    /** It is not run here. */
    record Refused(RefusalReason reason, long retryAfterMillis) implements Admission {}
}
