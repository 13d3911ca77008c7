package org.fescueport.internal.direct.place;

import static java.nio.charset.StandardCharsets.UTF_8;

import org.fescueport.internal.decision.claim.ContentHash;

/**
 * Identity of a prompt part that requests may share.
 *
 * @param model that processes the prompt
 * @param part id of the part
 */
public record PromptPartId(String model, String part) {
    /** Returns the id of a part of prompts for the model. */
    public static PromptPartId of(String model, String part) {
        return new PromptPartId(model, part);
    }

    /** Returns a hash that identifies the part between nodes, whichever model reads it. */
    public ContentHash hash() {
        return ContentHash.of(part.getBytes(UTF_8));
    }
}
