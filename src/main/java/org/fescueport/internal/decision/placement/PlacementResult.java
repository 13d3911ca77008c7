package org.fescueport.internal.decision.placement;

import java.util.Optional;

/** The replica chosen for a request, or the reason why there is none. */
public sealed interface PlacementResult {
    /** Why a replica was chosen. */
    enum Reason {
        /** The ticket names the replica. */
        TICKET,
        /** The replica ranks first. */
        FIRST_RANK,
        /** For a new chat: of the first two ranks, only this one is in the own failure domain. */
        NEAR,
        /**
         * For a request without a shared prefix: the replica is less loaded than the first rank.
         */
        LESS_LOADED,
        /** The replicas that rank before it are busy or were excluded. */
        SPILL,
        /** All replicas considered are known to be busy, and this is the least busy one. */
        LEAST_BUSY,
        /** Several replicas refused the request, and this one reported the lowest load. */
        LEAST_REFUSED
    }

    /**
     * The request is to be sent to this replica.
     *
     * @param cacheHolder another live replica that the ticket names, to import the KV cache from
     * @param leastRefusedTokens load reported by another replica that refused this request, to be
     *     sent with the request; 0 for none
     */
    record Chosen(
            Replica replica, Reason reason, Optional<Replica> cacheHolder, long leastRefusedTokens)
            implements PlacementResult {}

    /** Every allowed replica has refused the request because of its load. */
    record AllBusy(long retryAfterMillis) implements PlacementResult {}

    /** No live replica is allowed. */
    record NoReplica() implements PlacementResult {}
}
