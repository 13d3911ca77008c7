package org.fescueport.internal.decision.placement;

import java.util.Optional;

/** Where a request goes, or why nowhere. */
public sealed interface PlacementResult {
    /** Why a replica was chosen. */
    enum Reason {
        /** The ticket names it. */
        TICKET,
        /** It ranks first. */
        FIRST_RANK,
        /** A new chat, and it is the nearer one of the first ranks. */
        NEAR,
        /** A request that shares no prefix, and it carries less than the other one looked at. */
        LESS_LOADED,
        /** The replicas before it are busy, or were excluded. */
        SPILL,
        /** All that were looked at are known to be busy, and it is the least busy one. */
        LEAST_BUSY,
        /** Several refused, and it told the least load. */
        LEAST_REFUSED
    }

    /**
     * Send it there.
     *
     * @param cacheHolder another live replica that the ticket names, to import the KV cache from
     * @param leastRefusedTokens load that another replica told when it refused this request, to be
     *     sent along; 0 for none
     */
    record Chosen(
            Replica replica, Reason reason, Optional<Replica> cacheHolder, long leastRefusedTokens)
            implements PlacementResult {}

    /** Every replica that may be asked has refused the request for its load. */
    record AllBusy(long retryAfterMillis) implements PlacementResult {}

    /** No replica is live and allowed. */
    record NoReplica() implements PlacementResult {}
}
