package org.fescueport.internal.decision.admission;

import java.util.List;

/**
 * What a node has to do after {@link PoolAdmission#poll}.
 *
 * @param started to be sent now, in this order
 * @param givenUp to be refused now; none of these was sent
 */
public record PoolStep(List<PoolOffer> started, List<GivenUp> givenUp) {
    /** A request that is not sent, with after which time there may be room. */
    public record GivenUp(PoolOffer offer, RefusalReason reason, long retryAfterMillis) {}
}
