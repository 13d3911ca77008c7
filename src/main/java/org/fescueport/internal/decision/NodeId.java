package org.fescueport.internal.decision;

import java.util.Objects;

/** Name of a process in the fleet, which is the name of its VM. */
public record NodeId(String name) {
    public NodeId {
        Objects.requireNonNull(name, "name");
    }

    /** Returns the id with this name. */
    public static NodeId of(String name) {
        return new NodeId(name);
    }

    @Override
    public String toString() {
        return name;
    }
}
