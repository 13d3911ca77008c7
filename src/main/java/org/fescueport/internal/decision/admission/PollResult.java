package org.fescueport.internal.decision.admission;

import java.util.List;

/**
 * What an agent has to do after {@link AdmissionQueue#poll}.
 *
 * @param started to be started now, in this order
 * @param dropped to be answered now; none of these was run
 */
public record PollResult(List<WorkOffer> started, List<Dropped> dropped) {
    /** Queued work that is not run here. */
    public record Dropped(WorkOffer offer, RefusalReason reason, long retryAfterMillis) {}
}
