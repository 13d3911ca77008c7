package org.fescueport.internal.router;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.JsonError;
import org.fescueport.internal.http.ResponseStream;
import org.fescueport.internal.wire.generated.Outcome;

/** An answer as server-sent events, each with its number as id. */
final class EventAnswer implements Answer {
    private final HttpExchange mExchange;
    private final ChunkJson mJson;
    private ResponseStream mStream;
    private Runnable mDrained = () -> {};
    private int mLast;

    private EventAnswer(HttpExchange exchange, ChunkJson json) {
        mExchange = exchange;
        mJson = json;
    }

    static EventAnswer of(HttpExchange exchange, ChunkJson json) {
        return new EventAnswer(exchange, json);
    }

    @Override
    public void begin(Map<String, String> headers) {
        var all = new HashMap<>(headers);
        all.put("Content-Type", "text/event-stream");
        all.put("Cache-Control", "no-cache");
        mStream = mExchange.stream(200, all);
        mStream.onDrained(mDrained);
    }

    @Override
    public int add(int number, byte[] piece) {
        mLast = number;
        return mStream.write(mJson.textEvent(number, new String(piece, StandardCharsets.UTF_8)));
    }

    @Override
    public void complete(Outcome outcome) {
        mStream.write(mJson.finishEvent(mLast + 1, outcome));
        mStream.end();
    }

    @Override
    public boolean isBegun() {
        return mStream != null;
    }

    @Override
    public void fail(Failure failure) {
        if (mStream == null) {
            JsonError.respond(
                    mExchange,
                    failure.status(),
                    failure.type(),
                    failure.message(),
                    failure.headers());
            return;
        }
        mStream.write(ChunkJson.errorEvent(failure));
        mStream.end();
    }

    @Override
    public void onDrained(Runnable action) {
        mDrained = action;
    }

    /** Tells the caller where the answer is kept from now on, in a comment that clients skip. */
    void note(String comment) {
        mStream.write((": " + comment + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
}
