package org.fescueport.internal.security;

import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;

/**
 * Lets the caller of one request, and nobody else, go on with its answer at any router.
 *
 * @param address where the agent listens, as {@code host:port}
 */
public record ResumeToken(
        TeamId team,
        AttemptId attempt,
        AgentIncarnation agent,
        String address,
        long expiresAtMillis) {}
