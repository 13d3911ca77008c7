package org.fescueport.internal.decision.attempt;

/** Result of asking an agent never to run an attempt. */
public sealed interface Refusal {
    /** It is recorded: the attempt has not run here and never will. */
    record Recorded(RefusalReason reason) implements Refusal {}

    /** The attempt was handed to the backend server before. */
    record TooLate(AttemptState state) implements Refusal {}

    /** There is no memory left to record it; nothing is known of the attempt's future. */
    record Unrecorded() implements Refusal {}
}
