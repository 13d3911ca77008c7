package org.fescueport.internal.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.fescueport.internal.standin.Json;

/** What all parts of one chat-completions answer have in common. */
record AnswerHead(String id, String model, long createdSeconds) {
    static AnswerHead of(String id, String model, long createdSeconds) {
        return new AnswerHead(id, model, createdSeconds);
    }

    /** Returns one chunk of a streamed answer; {@code finishReason} is null but for the last. */
    ObjectNode chunk(ObjectNode delta, String finishReason) {
        var chunk = start("chat.completion.chunk");
        var choice = chunk.putArray("choices").addObject();
        choice.put("index", 0);
        choice.set("delta", delta);
        choice.put("finish_reason", finishReason);
        return chunk;
    }

    /** Returns a whole answer. */
    ObjectNode whole(String text, String finishReason, Usage usage) {
        var answer = start("chat.completion");
        var choice = answer.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", text);
        choice.put("finish_reason", finishReason);
        answer.set("usage", usage.toJson());
        return answer;
    }

    private ObjectNode start(String object) {
        return Json.object()
                .put("id", id)
                .put("object", object)
                .put("created", createdSeconds)
                .put("model", model);
    }
}
