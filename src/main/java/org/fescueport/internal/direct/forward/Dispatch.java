package org.fescueport.internal.direct.forward;

import java.util.Optional;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.direct.state.ReplicaEntry;

/**
 * The parameters with which a request is sent to one replica.
 *
 * @param team absent if the request has no known API key
 * @param remainingMillis time after which nobody waits for the response any more
 * @param priority 0 is the most urgent
 * @param cacheHolder another replica that may have the shared part of the prompt in its cache
 * @param resumeAfterEventId id of the last event that the caller has received
 */
public record Dispatch(
        ReplicaEntry replica,
        Optional<TeamId> team,
        long remainingMillis,
        int priority,
        Optional<ReplicaEntry> cacheHolder,
        Optional<String> resumeAfterEventId) {}
