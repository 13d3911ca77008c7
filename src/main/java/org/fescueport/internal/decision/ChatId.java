package org.fescueport.internal.decision;

import java.util.Objects;

/** Name of a chat that spans several requests; unique within its team. */
public record ChatId(String name) {
    public ChatId {
        Objects.requireNonNull(name, "name");
    }

    /** Returns the id with this name. */
    public static ChatId of(String name) {
        return new ChatId(name);
    }

    @Override
    public String toString() {
        return name;
    }
}
