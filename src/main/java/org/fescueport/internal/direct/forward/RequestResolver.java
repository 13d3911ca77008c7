package org.fescueport.internal.direct.forward;

import java.time.Duration;
import java.util.Optional;
import org.fescueport.internal.direct.config.FleetConfiguration;
import org.fescueport.internal.direct.config.KeyPolicy;
import org.fescueport.internal.direct.config.Route;
import org.fescueport.internal.direct.config.Team;
import org.fescueport.internal.direct.state.FleetView;

/** Finds the route of a request in the configuration in force, then checks the caller's API key. */
final class RequestResolver {
    /**
     * Retry-After while no configuration is known: a node that has just started learns it after
     * about this time.
     */
    private static final Duration STARTUP_RETRY_AFTER = Duration.ofMillis(400);

    private final FleetView mView;

    private RequestResolver(FleetView view) {
        mView = view;
    }

    /** Returns a resolver that uses the configuration of the view. */
    static RequestResolver of(FleetView view) {
        return new RequestResolver(view);
    }

    Resolution resolve(CallerRequest request) {
        Optional<FleetConfiguration> configuration = mView.configuration();
        if (configuration.isEmpty()) {
            return new Resolution.Refused(
                    Refusal.notRun(
                            request.id(), "no configuration is known yet", STARTUP_RETRY_AFTER));
        }
        var route = configuration.get().routes().find(request.host(), request.path());
        if (route.isEmpty()) {
            return refused(request, Refusal.Reason.NO_ROUTE, "no route leads to this path");
        }
        return checkKey(request, configuration.get(), route.get());
    }

    private static Resolution checkKey(
            CallerRequest request, FleetConfiguration configuration, Route route) {
        return switch (configuration.keys()) {
            case KeyPolicy.NotRequired none ->
                    new Resolution.Accepted(configuration, route, Optional.empty());
            case KeyPolicy.Required keys -> {
                Optional<Team> team = request.key().flatMap(keys::teamByApiKey);
                yield team.isPresent() || route.open()
                        ? new Resolution.Accepted(configuration, route, team)
                        : refused(request, Refusal.Reason.UNKNOWN_KEY, "the API key is not known");
            }
        };
    }

    private static Resolution refused(
            CallerRequest request, Refusal.Reason reason, String message) {
        return new Resolution.Refused(Refusal.of(reason, Optional.of(request.id()), message));
    }
}
