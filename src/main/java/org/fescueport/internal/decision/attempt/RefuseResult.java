package org.fescueport.internal.decision.attempt;

/** Result of {@link AttemptRegister#refuse}. */
public sealed interface RefuseResult {
    /** The refusal is recorded: the attempt has not run at this agent and never will. */
    record Recorded(RefusalReason reason) implements RefuseResult {}

    /** The attempt had already been handed to the backend server. */
    record AlreadyStarted(AttemptState state) implements RefuseResult {}

    /** The register is full, so no refusal is recorded: the attempt may still run later. */
    record Unrecorded() implements RefuseResult {}
}
