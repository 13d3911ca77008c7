package org.fescueport.internal.security;

import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;

/**
 * An idempotency key that only one incarnation of one agent may ever run.
 *
 * @param serial number of the key at its owner
 * @param address where the owner listens, as {@code host:port}
 */
public record OwnerBoundKey(
        TeamId team,
        PoolId service,
        String operation,
        AgentIncarnation owner,
        String address,
        long serial,
        long expiresAtMillis) {}
