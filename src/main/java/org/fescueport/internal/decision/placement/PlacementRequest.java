package org.fescueport.internal.decision.placement;

import java.util.Optional;

/**
 * What a placement needs to know of a request.
 *
 * @param ticket that the caller brought, checked to be its own
 * @param returning whether the chat has earlier turns, with or without a ticket
 * @param tokens work that it brings: prefill not cached plus expected decode
 */
public record PlacementRequest(
        Affinity affinity, Optional<ChatTicket> ticket, boolean returning, long tokens) {
    /** Returns a request that begins a chat, or that belongs to none. */
    public static PlacementRequest first(Affinity affinity, long tokens) {
        return new PlacementRequest(affinity, Optional.empty(), false, tokens);
    }

    /** Returns a request of a chat that has earlier turns. */
    public static PlacementRequest returning(
            Affinity affinity, Optional<ChatTicket> ticket, long tokens) {
        return new PlacementRequest(affinity, ticket, true, tokens);
    }
}
