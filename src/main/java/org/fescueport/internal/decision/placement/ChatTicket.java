package org.fescueport.internal.decision.placement;

import org.fescueport.internal.decision.ChatId;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.TeamId;

/**
 * What a caller brings back so that its chat is found again; routers themselves keep no chats.
 *
 * <p>A ticket is a hint. One that is stale, or that names another pool, costs a cache miss at most.
 *
 * @param node where the chat's prefix was last held
 * @param incarnation of that node; its cache died with any other
 * @param promptTokens tokens of the chat that were held there
 */
public record ChatTicket(
        TeamId team, ChatId chat, PoolId pool, NodeId node, long incarnation, int promptTokens) {
    /** Returns whether the ticket was given to this team for this chat in this pool. */
    public boolean isFor(TeamId team, ChatId chat, PoolId pool) {
        return this.team.equals(team) && this.chat.equals(chat) && this.pool.equals(pool);
    }
}
