package org.fescueport.internal.decision;

import java.util.Objects;

/** Name of a failure domain. */
public record FailureDomain(String name) {
    public FailureDomain {
        Objects.requireNonNull(name, "name");
    }

    /** Returns the failure domain with this name. */
    public static FailureDomain of(String name) {
        return new FailureDomain(name);
    }

    @Override
    public String toString() {
        return name;
    }
}
