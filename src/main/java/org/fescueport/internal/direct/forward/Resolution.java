package org.fescueport.internal.direct.forward;

import java.util.Optional;
import org.fescueport.internal.decision.admission.Urgency;
import org.fescueport.internal.direct.config.FleetConfiguration;
import org.fescueport.internal.direct.config.Route;
import org.fescueport.internal.direct.config.Team;

/** Whether the configuration in force allows a request. */
sealed interface Resolution {
    /**
     * It does.
     *
     * @param team whose key the request carries; absent on open routes
     */
    record Accepted(FleetConfiguration configuration, Route route, Optional<Team> team)
            implements Resolution {
        /** Returns the team's priority, else the route's; 0 is the highest. */
        int priority() {
            return team.flatMap(t -> t.priority().stream().boxed().findFirst())
                    .orElse(route.priority());
        }

        /** Returns the place among all requests; of one team's the route's priority decides. */
        int urgency() {
            return Urgency.of(priority(), route.priority());
        }
    }

    /** It does not, or none is known yet. */
    record Refused(Refusal refusal) implements Resolution {}
}
