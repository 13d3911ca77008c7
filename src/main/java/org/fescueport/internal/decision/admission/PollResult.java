package org.fescueport.internal.decision.admission;

import java.util.List;

/**
 * What an agent has to do after {@link AdmissionQueue#poll}.
 *
 * @param started to be started now, in this order
 * @param dropped to be refused now; none of these was run
 */
public record PollResult(List<WorkOffer> started, List<Dropped> dropped) {
    /** A queued request that is not run here; a retry may be admitted after the retry time. */
    public record Dropped(WorkOffer offer, RefusalReason reason, long retryAfterMillis) {}
}
