package org.fescueport.internal.decision.placement;

import org.fescueport.internal.decision.ChatId;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.TeamId;

/**
 * Identifies the replica that last served a chat. The caller sends it back with the next request of
 * the chat, since routers keep no state about chats.
 *
 * <p>A ticket is only a hint. A ticket that is out of date or names another pool causes a cache
 * miss at most.
 *
 * @param node node that last had the chat's prefix in its cache
 * @param incarnation incarnation of that node; the cache does not survive a restart
 * @param promptTokens number of tokens of the chat in that cache
 */
public record ChatTicket(
        TeamId team, ChatId chat, PoolId pool, NodeId node, long incarnation, int promptTokens) {
    /** Returns whether the ticket was issued to the given team for this chat in this pool. */
    public boolean isFor(TeamId team, ChatId chat, PoolId pool) {
        return this.team.equals(team) && this.chat.equals(chat) && this.pool.equals(pool);
    }
}
