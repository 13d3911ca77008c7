package org.fescueport.internal.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.ResponseStream;
import org.fescueport.internal.standin.Json;

/** Sends a generation as server-sent events. */
final class StreamedAnswer implements GenerationListener {
    private static final int WAITING_BYTES_LIMIT = 64 * 1024;
    private static final Map<String, String> HEADERS =
            Map.of("Content-Type", "text/event-stream", "Cache-Control", "no-cache");

    private final HttpExchange mExchange;
    private final AnswerHead mHead;
    private volatile Runnable mOnDrained = () -> {};
    private ResponseStream mStream;

    private StreamedAnswer(HttpExchange exchange, AnswerHead head) {
        mExchange = exchange;
        mHead = head;
    }

    static StreamedAnswer create(HttpExchange exchange, AnswerHead head) {
        return new StreamedAnswer(exchange, head);
    }

    /** Sets what is called when a reader that did not keep up has taken everything. */
    void whenDrained(Runnable action) {
        mOnDrained = action;
    }

    @Override
    public void onStarted(int promptTokens, int cachedTokens) {
        mStream = mExchange.stream(200, HEADERS);
        mStream.onDrained(() -> mOnDrained.run());
        var delta = Json.object().put("role", "assistant").put("content", "");
        var chunk = mHead.chunk(delta, null);
        chunk.set("usage", new Usage(promptTokens, cachedTokens, 0).toJson());
        send(chunk);
    }

    @Override
    public boolean onToken(String text) {
        return send(mHead.chunk(Json.object().put("content", text), null)) < WAITING_BYTES_LIMIT;
    }

    @Override
    public void onCompleted(Usage usage) {
        var chunk = mHead.chunk(Json.object(), "length");
        chunk.set("usage", usage.toJson());
        send(chunk);
        mStream.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        mStream.end();
    }

    @Override
    public void onRefused() {
        Json.respondError(mExchange, 503, "overloaded", "too many requests wait; nothing was run");
    }

    private int send(ObjectNode chunk) {
        return mStream.write(("data: " + chunk + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
}
