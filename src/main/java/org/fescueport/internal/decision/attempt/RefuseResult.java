package org.fescueport.internal.decision.attempt;

/** Result of asking an agent never to run an attempt. */
public sealed interface RefuseResult {
    /** It is recorded: the attempt has not run here and never will. */
    record Recorded(RefusalReason reason) implements RefuseResult {}

    /** The attempt was handed to the backend server before. */
    record AlreadyStarted(AttemptState state) implements RefuseResult {}

    /** The register is full, so no refusal is recorded: the attempt may still run later. */
    record Unrecorded() implements RefuseResult {}
}
