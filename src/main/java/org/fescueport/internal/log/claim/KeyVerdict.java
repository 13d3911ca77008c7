package org.fescueport.internal.log.claim;

import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.claim.ClaimRefusal;
import org.fescueport.internal.decision.claim.StoredAnswer;

/** What an agent does with a request that carries an idempotency key. */
public sealed interface KeyVerdict {
    /** Run it, once: pass {@link AtMostOnce#started} first. */
    record RunNow(RunTicket ticket) implements KeyVerdict {}

    /** It was run before; this is the first answer. */
    record AlreadyDone(StoredAnswer answer) implements KeyVerdict {}

    /** It was begun before: it runs, or its outcome cannot be known. It isn't run again. */
    record RunningOrUnknown(AgentIncarnation holder) implements KeyVerdict {}

    /** This sending of it was surely not run. */
    record Refused(ClaimRefusal reason, long retryAfterMillis) implements KeyVerdict {}
}
