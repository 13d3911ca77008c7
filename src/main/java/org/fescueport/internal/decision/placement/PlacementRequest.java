package org.fescueport.internal.decision.placement;

import java.util.Optional;

/**
 * What a placement needs to know of a request.
 *
 * @param ticket that the caller brought, checked to be its own
 * @param continuesChat whether the chat has earlier turns, with or without a ticket
 * @param tokens work that it brings, as {@link org.fescueport.internal.decision.ResponseSupplier#loadTokens()}
 * @param refusals of earlier attempts, for load
 */
public record PlacementRequest(
        Affinity affinity,
        Optional<ChatTicket> ticket,
        boolean continuesChat,
        long tokens,
        Refusals refusals) {
    /** Returns a request that begins a chat, or that belongs to none. */
    public static PlacementRequest forNewChat(Affinity affinity, long tokens) {
        return new PlacementRequest(affinity, Optional.empty(), false, tokens, Refusals.none());
    }

    /** Returns a request of a chat that has earlier turns. */
    public static PlacementRequest forExistingChat(
            Affinity affinity, Optional<ChatTicket> ticket, long tokens) {
        return new PlacementRequest(affinity, ticket, true, tokens, Refusals.none());
    }

    /** Returns this request after these refusals. */
    public PlacementRequest withRefusals(Refusals refusals) {
        return new PlacementRequest(affinity, ticket, continuesChat, tokens, refusals);
    }
}
