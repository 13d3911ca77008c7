package org.fescueport.internal.direct.forward;

import java.util.Optional;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.direct.state.ReplicaEntry;

/**
 * One sending of a request to one replica.
 *
 * @param remainingMillis time after which nobody waits for the answer any more
 * @param priority 0 is the most urgent
 * @param cacheHolder another replica that may hold what is shared of the prompt
 * @param resumeAfterEventId the last event that the caller holds
 */
public record Dispatch(
        ReplicaEntry replica,
        Optional<TeamId> team,
        long remainingMillis,
        int priority,
        Optional<ReplicaEntry> cacheHolder,
        Optional<String> resumeAfterEventId) {}
