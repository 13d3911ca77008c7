package org.fescueport.internal.decision;

import java.util.Objects;

/** Name of a team, one of those that share the services. */
public record TeamId(String name) {
    public TeamId {
        Objects.requireNonNull(name, "name");
    }

    /** Returns the id with this name. */
    public static TeamId of(String name) {
        return new TeamId(name);
    }

    @Override
    public String toString() {
        return name;
    }
}
