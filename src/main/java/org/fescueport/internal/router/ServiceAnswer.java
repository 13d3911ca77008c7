package org.fescueport.internal.router;

import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.Map;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.JsonError;
import org.fescueport.internal.wire.generated.Outcome;

/** The answer of a plain service, with the status that the service gave. */
final class ServiceAnswer implements Answer {
    private final HttpExchange mExchange;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private final Map<String, String> mHeaders = new HashMap<>();

    private ServiceAnswer(HttpExchange exchange) {
        mExchange = exchange;
    }

    static ServiceAnswer of(HttpExchange exchange) {
        return new ServiceAnswer(exchange);
    }

    @Override
    public void begin(Map<String, String> headers) {
        mHeaders.putAll(headers);
    }

    @Override
    public int add(int number, byte[] piece) {
        mBody.writeBytes(piece);
        return 0;
    }

    @Override
    public void complete(Outcome outcome) {
        mHeaders.put("Content-Type", outcome.getContentType());
        mHeaders.put(
                "Fescue-Outcome",
                Failure.nameOf(org.fescueport.internal.decision.Outcome.COMPLETED));
        mExchange.respond(outcome.getStatus(), mHeaders, mBody.toByteArray());
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
