package org.fescueport.internal.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fescueport.internal.standin.Json;

/** Tokens that a request used. */
record Usage(int promptTokens, int cachedTokens, int completionTokens) {
    /** Returns the usual JSON form. */
    ObjectNode toJson() {
        var usage = Json.object();
        usage.put("prompt_tokens", promptTokens);
        usage.put("completion_tokens", completionTokens);
        usage.put("total_tokens", promptTokens + completionTokens);
        usage.putObject("prompt_tokens_details").put("cached_tokens", cachedTokens);
        return usage;
    }
}
