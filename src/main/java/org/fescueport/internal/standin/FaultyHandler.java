package org.fescueport.internal.standin;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.HttpHandler;
import org.fescueport.internal.http.ResponseStream;

/**
 * Lets the faults strike before and after the calls of a stand-in, and switches them at {@code
 * /v1/faults}. They never strike what a tester sets by PUT or DELETE.
 */
public final class FaultyHandler implements HttpHandler {
    private static final String FAULTS = "/v1/faults";
    private static final int MOST_FROZEN = 10_000;

    private final HttpHandler mNext;
    private final FaultSwitch mFaults;
    private final ScheduledExecutorService mExecutor;
    private final String mOutageError;
    private final ArrayDeque<HttpExchange> mFrozen = new ArrayDeque<>();

    private FaultyHandler(
            HttpHandler next,
            FaultSwitch faults,
            ScheduledExecutorService executor,
            String outageError) {
        mNext = next;
        mFaults = faults;
        mExecutor = executor;
        mOutageError = outageError;
    }

    /**
     * Returns a handler around {@code next}.
     *
     * @param outageError type of the error for a call that is refused in an outage
     */
    public static FaultyHandler create(
            HttpHandler next,
            FaultSwitch faults,
            ScheduledExecutorService executor,
            String outageError) {
        return new FaultyHandler(next, faults, executor, outageError);
    }

    @Override
    public void handle(HttpExchange exchange) {
        if (exchange.path().equals(FAULTS)) {
            handleSwitch(exchange);
        } else if (isTesters(exchange)) {
            mNext.handle(exchange);
        } else if (!holdBack(exchange)) {
            strike(exchange);
        }
    }

    /** Returns whether the call is the tester's: the fleet makes none of these. */
    private static boolean isTesters(HttpExchange exchange) {
        return switch (exchange.method()) {
            case "PUT", "DELETE" -> true;
            default -> exchange.path().equals("/v1/runs") || exchange.path().equals("/v1/stats");
        };
    }

    private void handleSwitch(HttpExchange exchange) {
        try {
            if (exchange.method().equals("PUT")) {
                mFaults.change(Json.parse(exchange.body()));
                thaw();
            }
            Json.respond(exchange, 200, Json.of(mFaults.current()));
        } catch (BadRequestException e) {
            Json.respondError(exchange, 400, "bad_request", e.getMessage());
        }
    }

    private synchronized boolean holdBack(HttpExchange exchange) {
        if (!mFaults.current().freeze()) {
            return false;
        }
        if (mFrozen.size() < MOST_FROZEN) {
            mFrozen.add(exchange);
        }
        return true;
    }

    private synchronized void thaw() {
        while (!mFaults.current().freeze() && !mFrozen.isEmpty()) {
            strike(mFrozen.remove());
        }
    }

    private void strike(HttpExchange exchange) {
        if (mFaults.current().outage()) {
            Json.respondError(exchange, 503, mOutageError, "outage; nothing was done");
            return;
        }
        long slowMillis = mFaults.current().slowMillis();
        if (slowMillis == 0) {
            pass(exchange);
        } else {
            mExecutor.schedule(() -> pass(exchange), slowMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void pass(HttpExchange exchange) {
        boolean loses = exchange.method().equals("POST") && mFaults.losesAnswer();
        mNext.handle(loses ? new LostAnswer(exchange) : exchange);
    }

    /** An exchange whose connection is cut instead of answered. */
    private record LostAnswer(HttpExchange exchange) implements HttpExchange {
        @Override
        public String method() {
            return exchange.method();
        }

        @Override
        public String path() {
            return exchange.path();
        }

        @Override
        public String query(String name, String fallback) {
            return exchange.query(name, fallback);
        }

        @Override
        public String header(String name) {
            return exchange.header(name);
        }

        @Override
        public byte[] body() {
            return exchange.body();
        }

        @Override
        public void respond(int status, Map<String, String> headers, byte[] body) {
            stream(status, headers).abort();
        }

        @Override
        public ResponseStream stream(int status, Map<String, String> headers) {
            var stream = exchange.stream(status, headers);
            stream.abort();
            return stream;
        }

        @Override
        public void onAbort(Runnable action) {
            exchange.onAbort(action);
        }
    }
}
