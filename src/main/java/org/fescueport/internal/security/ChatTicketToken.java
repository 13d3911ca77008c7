package org.fescueport.internal.security;

import org.fescueport.internal.decision.ChatId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;

/**
 * Where a chat's prefix was last held; the caller brings it back with the chat's next request.
 *
 * @param pool the model's pool
 * @param holder the agent whose engine held the prefix
 * @param prefixHash hash of the prefix that was held
 * @param prefixTokens its length
 */
public record ChatTicketToken(
        TeamId team,
        ChatId chat,
        PoolId pool,
        AgentIncarnation holder,
        long prefixHash,
        int prefixTokens,
        long expiresAtMillis) {}
