package org.fescueport.internal.decision.admission;

import java.util.List;

/**
 * What a node has to do after {@link PoolAdmission#poll}.
 *
 * @param started to be sent now, in this order
 * @param dropped to be refused now; none of these was sent
 */
public record PoolPollResult(List<PoolOffer> started, List<Dropped> dropped) {
    /** A queued request that is not sent; there may be capacity after the retry time. */
    public record Dropped(PoolOffer offer, RefusalReason reason, long retryAfterMillis) {}
}
