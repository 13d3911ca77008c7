package org.fescueport.internal.decision;

import java.util.Objects;

/** Name of a pool: the identical backend servers of one model or one plain service. */
public record PoolId(String name) {
    public PoolId {
        Objects.requireNonNull(name, "name");
    }

    /** Returns the id with this name. */
    public static PoolId of(String name) {
        return new PoolId(name);
    }

    @Override
    public String toString() {
        return name;
    }
}
