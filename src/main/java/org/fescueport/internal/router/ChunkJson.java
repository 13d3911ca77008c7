package org.fescueport.internal.router;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.nio.charset.StandardCharsets;
import org.fescueport.internal.wire.generated.Outcome;

/** Writes answers in the chat-completions form. */
final class ChunkJson {
    private static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8);

    private final String mHead;
    private final String mId;
    private final String mModel;
    private final long mCreatedSeconds;

    private ChunkJson(String id, String model, long createdSeconds) {
        mId = quote("chatcmpl-" + id);
        mModel = quote(model);
        mCreatedSeconds = createdSeconds;
        mHead = "{" + identity("chat.completion.chunk") + ",\"choices\":[{\"index\":0,\"delta\":";
    }

    static ChunkJson of(String id, String model, long createdSeconds) {
        return new ChunkJson(id, model, createdSeconds);
    }

    /** Returns the server-sent event of one piece of text. */
    byte[] textEvent(int number, String text) {
        return event(number, mHead + "{\"content\":" + quote(text) + "},\"finish_reason\":null}]}");
    }

    /** Returns the last events of a whole answer. */
    byte[] finishEvent(int number, Outcome outcome) {
        var last =
                event(
                        number,
                        mHead
                                + "{},\"finish_reason\":"
                                + quote(outcome.getFinishReason())
                                + "}],"
                                + usage(outcome)
                                + "}");
        var whole = new byte[last.length + DONE.length];
        System.arraycopy(last, 0, whole, 0, last.length);
        System.arraycopy(DONE, 0, whole, last.length, DONE.length);
        return whole;
    }

    /** Returns the event that tells of an error after the head was sent. */
    static byte[] errorEvent(Failure failure) {
        var json =
                "{\"error\":{\"type\":"
                        + quote(failure.type())
                        + ",\"message\":"
                        + quote(failure.message())
                        + ",\"outcome\":"
                        + quote(Failure.nameOf(failure.outcome()))
                        + "}}";
        return ("event: error\ndata: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Returns an answer that is given in one piece. */
    byte[] whole(String text, Outcome outcome) {
        var json =
                "{"
                        + identity("chat.completion")
                        + ",\"choices\":[{\"index\":0,\"message\":"
                        + "{\"role\":\"assistant\",\"content\":"
                        + quote(text)
                        + "},\"finish_reason\":"
                        + quote(outcome.getFinishReason())
                        + "}],"
                        + usage(outcome)
                        + "}";
        return json.getBytes(StandardCharsets.UTF_8);
    }

    private String identity(String object) {
        return "\"id\":"
                + mId
                + ",\"object\":\""
                + object
                + "\",\"created\":"
                + mCreatedSeconds
                + ",\"model\":"
                + mModel;
    }

    private static String usage(Outcome outcome) {
        int total = outcome.getPromptTokens() + outcome.getCompletionTokens();
        return "\"usage\":{\"prompt_tokens\":"
                + outcome.getPromptTokens()
                + ",\"completion_tokens\":"
                + outcome.getCompletionTokens()
                + ",\"total_tokens\":"
                + total
                + ",\"prompt_tokens_details\":{\"cached_tokens\":"
                + outcome.getCachedTokens()
                + "}}";
    }

    private static byte[] event(int number, String json) {
        return ("id: " + number + "\ndata: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    private static String quote(String text) {
        return '"' + String.valueOf(JsonStringEncoder.getInstance().quoteAsString(text)) + '"';
    }
}
