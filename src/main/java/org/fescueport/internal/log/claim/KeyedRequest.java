package org.fescueport.internal.log.claim;

import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.claim.ContentHash;
import org.fescueport.internal.decision.claim.KeyWindow;

/**
 * A request with an idempotency key.
 *
 * @param key the key as the caller wrote it
 * @param window ages of keys that the operation accepts
 * @param deadlineMillis wall time after which it must not be started
 */
public record KeyedRequest(
        String key,
        TeamId team,
        String operation,
        ContentHash content,
        KeyWindow window,
        long deadlineMillis) {}
