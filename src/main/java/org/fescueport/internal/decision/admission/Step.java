package org.fescueport.internal.decision.admission;

import java.util.List;

/**
 * What an agent has to do after {@link AdmissionQueue#poll}.
 *
 * @param started to be started now, in this order
 * @param givenUp to be answered now; none of these was run
 */
public record Step(List<WorkOffer> started, List<GivenUp> givenUp) {
    /** Queued work that is not run here. */
    public record GivenUp(WorkOffer offer, RefusalReason reason, long retryAfterMillis) {}
}
