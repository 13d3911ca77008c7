package org.fescueport.internal.direct.forward;

import java.util.List;
import org.fescueport.internal.direct.place.PromptPartId;

/**
 * The description of a request's prompt.
 *
 * @param model that is to process it; empty for a request without a prompt
 * @param tokens of the whole prompt
 * @param outputTokens that the response has at most
 * @param parts in order; requests that begin with the same parts share them in a replica's cache,
 *     and the last one belongs to the request or its chat alone
 */
public record Prompt(String model, int tokens, int outputTokens, List<Part> parts) {
    /** The description of a request without a prompt. */
    public static final Prompt NONE = new Prompt("", 0, 0, List.of());

    /** A section of the prompt that a replica may cache. */
    public record Part(String id, int tokens) {}

    public Prompt {
        parts = List.copyOf(parts);
    }

    /** Returns the number of tokens that other requests may share. */
    public int sharedTokens() {
        return parts.stream().limit(Math.max(0, parts.size() - 1)).mapToInt(Part::tokens).sum();
    }

    /** Returns the tokens that a replica holds in the end if the response is as long as it may. */
    public long memoryTokens() {
        return (long) tokens + outputTokens;
    }

    /** Returns the ids of all parts, in order. */
    public List<PromptPartId> partIds() {
        return parts.stream().map(part -> PromptPartId.of(model, part.id())).toList();
    }

    /** Returns the id of the last part that other requests may share; empty if there is none. */
    public String sharedPart() {
        return parts.size() < 2 ? "" : parts.get(parts.size() - 2).id();
    }
}
