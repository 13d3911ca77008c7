package org.fescueport.internal.decision;

import java.util.Objects;

/** Name of a set of identical backend servers: those of one model or one plain service. */
public record PoolId(String name) {
    public PoolId {
        Objects.requireNonNull(name, "name");
    }

    /** Returns the value for this name. */
    public static PoolId of(String name) {
        return new PoolId(name);
    }

    @Override
    public String toString() {
        return name;
    }
}
