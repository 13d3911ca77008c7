package org.fescueport.internal.router;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.JsonError;
import org.fescueport.internal.wire.generated.Outcome;

/** An answer that is gathered and given in one piece. */
final class WholeAnswer implements Answer {
    /** What the gathered bytes are. */
    sealed interface Form {
        /** The text of a model's answer. */
        record Chat(ChunkJson json) implements Form {}

        /** The body that a plain service gave, with its status and type. */
        record Service() implements Form {}
    }

    private final HttpExchange mExchange;
    private final Form mForm;
    private final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();
    private final Map<String, String> mHeaders = new HashMap<>();

    private WholeAnswer(HttpExchange exchange, Form form) {
        mExchange = exchange;
        mForm = form;
    }

    static WholeAnswer of(HttpExchange exchange, Form form) {
        return new WholeAnswer(exchange, form);
    }

    @Override
    public void begin(Map<String, String> headers) {
        mHeaders.putAll(headers);
    }

    @Override
    public int add(int number, byte[] piece) {
        mBytes.writeBytes(piece);
        return 0;
    }

    @Override
    public void complete(Outcome outcome) {
        mHeaders.put(
                "Fescue-Outcome",
                Failure.nameOf(org.fescueport.internal.decision.Outcome.COMPLETED));
        switch (mForm) {
            case Form.Chat chat -> {
                mHeaders.put("Content-Type", "application/json");
                var text = mBytes.toString(StandardCharsets.UTF_8);
                mExchange.respond(200, mHeaders, chat.json().whole(text, outcome));
            }
            case Form.Service ignored -> {
                mHeaders.put("Content-Type", outcome.getContentType());
                mExchange.respond(outcome.getStatus(), mHeaders, mBytes.toByteArray());
            }
        }
    }

    @Override
    public boolean isBegun() {
        return false;
    }

    @Override
    public void fail(Failure failure) {
        JsonError.respond(
                mExchange, failure.status(), failure.type(), failure.message(), failure.headers());
    }

    @Override
    public void onDrained(Runnable action) {
        // Nothing is sent before the end, so nothing ever waits.
    }
}
