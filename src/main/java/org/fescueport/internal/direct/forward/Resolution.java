package org.fescueport.internal.direct.forward;

import java.util.Optional;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.admission.Urgency;
import org.fescueport.internal.decision.placement.ReplicaSpeeds;
import org.fescueport.internal.direct.config.FleetConfiguration;
import org.fescueport.internal.direct.config.Route;
import org.fescueport.internal.direct.config.Team;

/** Whether the configuration in force allows a request. */
sealed interface Resolution {
    /**
     * The request is allowed.
     *
     * @param team to which the request's API key belongs; absent on open routes if the request has
     *     no known key, and on all routes if the configuration declares no teams
     */
    record Accepted(FleetConfiguration configuration, Route route, Optional<Team> team)
            implements Resolution {
        /** Returns the team's priority, or the route's if the team has none; 0 is the highest. */
        int priority() {
            return team.flatMap(t -> t.priority().stream().boxed().findFirst())
                    .orElse(route.priority());
        }

        /** Returns the urgency among all requests; within one team the route's priority decides. */
        int urgency() {
            return Urgency.of(priority(), route.priority());
        }

        /**
         * Returns whether no replica could hold the request alone. A replica that shares its
         * machine ends if what it holds exceeds its memory.
         */
        boolean exceedsReplicaMemory(PoolId pool, CallerRequest request, ReplicaSpeeds speeds) {
            long tokens = configuration.replicaMemory().getOrDefault(pool, 0L);
            return tokens > 0 && speeds.isAnyReported() && request.prompt().memoryTokens() > tokens;
        }
    }

    /** The request is not allowed, or no configuration is known yet. */
    record Refused(Refusal refusal) implements Resolution {}
}
