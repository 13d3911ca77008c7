package org.fescueport.internal.decision.attempt;

/** Result of asking an agent never to run an attempt. */
public sealed interface RefuseResult {
    /** It is recorded: the attempt has not run here and never will. */
    record Recorded(RefusalReason reason) implements RefuseResult {}

    /** The attempt was handed to the backend server before. */
    record AlreadyStarted(AttemptState state) implements RefuseResult {}

    /** There is no memory left to record it; nothing is known of the attempt's future. */
    record Unrecorded() implements RefuseResult {}
}
