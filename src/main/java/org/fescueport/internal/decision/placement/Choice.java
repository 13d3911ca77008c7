package org.fescueport.internal.decision.placement;

import java.util.Optional;

/** Where a request goes, or why nowhere. */
public sealed interface Choice {
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
        SPILL
    }

    /**
     * Send it there.
     *
     * @param cacheHolder another live replica that the ticket names, to import the KV cache from
     */
    record Chosen(Replica replica, Reason reason, Optional<Replica> cacheHolder)
            implements Choice {}

    /** Every replica that was looked at is above its load bound. */
    record AllBusy(long retryAfterMillis) implements Choice {}

    /** No replica is live and allowed. */
    record NoReplica() implements Choice {}
}
