package org.fescueport.internal.decision.placement;

import java.util.Optional;

/**
 * The properties of a request that determine its placement.
 *
 * @param ticket ticket sent by the caller and verified to belong to it
 * @param continuesChat whether the chat has earlier turns, with or without a ticket
 * @param tokens work of the request, as {@link org.fescueport.internal.decision.Work#loadTokens()}
 * @param refusals refusals of earlier attempts because of load
 */
public record PlacementRequest(
        Affinity affinity,
        Optional<ChatTicket> ticket,
        boolean continuesChat,
        long tokens,
        Refusals refusals) {
    /** Returns a request that starts a chat, or does not belong to a chat. */
    public static PlacementRequest forNewChat(Affinity affinity, long tokens) {
        return new PlacementRequest(affinity, Optional.empty(), false, tokens, Refusals.none());
    }

    /** Returns a request that belongs to a chat with earlier turns. */
    public static PlacementRequest forExistingChat(
            Affinity affinity, Optional<ChatTicket> ticket, long tokens) {
        return new PlacementRequest(affinity, ticket, true, tokens, Refusals.none());
    }

    /** Returns this request with the given refusals of earlier attempts. */
    public PlacementRequest withRefusals(Refusals refusals) {
        return new PlacementRequest(affinity, ticket, continuesChat, tokens, refusals);
    }
}
