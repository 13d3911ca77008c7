package org.fescueport.internal.decision.claim;

import org.fescueport.internal.decision.attempt.AgentIncarnation;

/** Result of a claim according to the log. */
public sealed interface ClaimVerdict {
    /** The claim is the first one for its key: only its holder may run the call, and only once. */
    record Won() implements ClaimVerdict {}

    /** The call of the key was already run and gave this answer. */
    record Done(StoredAnswer answer) implements ClaimVerdict {}

    /** Another claim holds the key; its call is running or has an unknown outcome. */
    record Held(AgentIncarnation holder) implements ClaimVerdict {}

    /** The claim was refused and does not run. */
    record Refused(ClaimRefusal reason, long retryAfterMillis) implements ClaimVerdict {}
}
