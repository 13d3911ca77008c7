package org.fescueport.internal.decision.claim;

import org.fescueport.internal.decision.attempt.AgentIncarnation;

/** What the log says of one claim. */
public sealed interface ClaimVerdict {
    /** It is the first claim for its key: its holder, and nobody else, may run it, once. */
    record Won() implements ClaimVerdict {}

    /** The key was run before, with this answer. */
    record Done(StoredAnswer answer) implements ClaimVerdict {}

    /** Another claim holds the key: it runs, or its outcome can't be known. */
    record Held(AgentIncarnation holder) implements ClaimVerdict {}

    /** The claim isn't run. */
    record Refused(ClaimRefusal reason, long retryAfterMillis) implements ClaimVerdict {}
}
