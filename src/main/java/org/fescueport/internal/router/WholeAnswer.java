package org.fescueport.internal.router;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.JsonError;
import org.fescueport.internal.wire.generated.Outcome;

/** A model's answer that is given in one piece. */
final class WholeAnswer implements Answer {
    private final HttpExchange mExchange;
    private final ChunkJson mJson;
    private final ByteArrayOutputStream mText = new ByteArrayOutputStream();
    private final Map<String, String> mHeaders = new HashMap<>();

    private WholeAnswer(HttpExchange exchange, ChunkJson json) {
        mExchange = exchange;
        mJson = json;
    }

    static WholeAnswer of(HttpExchange exchange, ChunkJson json) {
        return new WholeAnswer(exchange, json);
    }

    @Override
    public void begin(Map<String, String> headers) {
        mHeaders.putAll(headers);
    }

    @Override
    public int add(int number, byte[] piece) {
        mText.writeBytes(piece);
        return 0;
    }

    @Override
    public void complete(Outcome outcome) {
        mHeaders.put("Content-Type", "application/json");
        mHeaders.put(
                "Fescue-Outcome",
                Failure.nameOf(org.fescueport.internal.decision.Outcome.COMPLETED));
        mExchange.respond(
                200, mHeaders, mJson.whole(mText.toString(StandardCharsets.UTF_8), outcome));
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
