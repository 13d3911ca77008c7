package org.fescueport.internal.direct.forward;

import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.direct.config.Route;

/** What a request's route allows for its attempts. */
final class Sendability {
    private Sendability() {}

    /**
     * Checks that an attempt is allowed.
     *
     * @param mayHaveRun whether an earlier attempt may have run
     * @param attempts number of attempts, with this one
     */
    static void check(CallerRequest request, Route route, boolean mayHaveRun, int attempts) {
        Invariants.check(
                route.kind().isRepeatable() || !mayHaveRun,
                "request %s may already have run but is being sent again",
                request.id());
        Invariants.check(
                attempts <= Math.max(1, route.maxAttempts()),
                "request %s has been sent %d times but route %s allows %d",
                request.id(),
                attempts,
                route.name(),
                route.maxAttempts());
    }

    /**
     * Returns which idle connections an attempt may use. A replica may close one that has been idle
     * for long at the moment at which the request is sent.
     *
     * @param triedBefore whether an earlier attempt went to the same replica
     */
    static ReplicaConnectionPool.Reuse reuse(Route route, boolean triedBefore) {
        if (triedBefore) {
            return ReplicaConnectionPool.Reuse.NONE;
        }
        return route.kind().isRepeatable()
                ? ReplicaConnectionPool.Reuse.ANY
                : ReplicaConnectionPool.Reuse.RECENT;
    }
}
