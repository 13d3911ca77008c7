package org.fescueport.internal.direct.forward;

import java.util.List;

/**
 * What a request says of its prompt.
 *
 * @param model that is to run it; empty for a request without a prompt
 * @param tokens of the whole prompt
 * @param parts in order; requests that begin with the same parts share them in a replica's cache,
 *     and the last one belongs to the request or its chat alone
 */
public record Prompt(String model, int tokens, List<Part> parts) {
    /** Requests without a prompt have this one. */
    public static final Prompt NONE = new Prompt("", 0, List.of());

    /** A stretch of the prompt that may be kept in a replica's cache. */
    public record Part(String id, int tokens) {}

    public Prompt {
        parts = List.copyOf(parts);
    }

    /** Returns the id of the last part that other requests share; empty when there is none. */
    public String sharedPart() {
        return parts.size() < 2 ? "" : parts.get(parts.size() - 2).id();
    }
}
