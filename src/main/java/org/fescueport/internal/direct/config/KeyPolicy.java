package org.fescueport.internal.direct.config;

import java.util.Map;
import java.util.Optional;

/** Whether callers must present an API key, and which keys are valid. */
public sealed interface KeyPolicy {
    /** Callers need no API key on any route. */
    record NotRequired() implements KeyPolicy {}

    /**
     * Callers need the API key of a team, except on open routes.
     *
     * @param teams by their API keys; if empty, no key is valid
     */
    record Required(Map<ApiKey, Team> teams) implements KeyPolicy {
        public Required {
            teams = Map.copyOf(teams);
        }

        /** Returns the team that owns this API key, or empty if no team does. */
        public Optional<Team> teamByApiKey(ApiKey key) {
            return Optional.ofNullable(teams.get(key));
        }
    }

    /** Returns the policy of a fleet whose callers need no API key. */
    static KeyPolicy notRequired() {
        return new NotRequired();
    }

    /** Returns the policy of a fleet whose callers need one of these API keys. */
    static KeyPolicy required(Map<ApiKey, Team> teams) {
        return new Required(teams);
    }
}
