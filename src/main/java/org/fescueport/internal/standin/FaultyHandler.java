package org.fescueport.internal.standin;

import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.HttpHandler;
import org.fescueport.internal.http.ResponseStream;

/**
 * Injects the faults of a {@link FaultSwitch} into the calls of a stand-in, and serves {@code
 * /v1/faults}, where they are set. Calls by which a test controls or inspects the stand-in are
 * exempt.
 */
public final class FaultyHandler implements HttpHandler {
    private static final String FAULTS = "/v1/faults";
    private static final int MAX_FROZEN = 10_000;

    private final HttpHandler mNext;
    private final FaultSwitch mFaults;
    private final ScheduledExecutorService mExecutor;
    private final String mOutageError;
    private final ArrayDeque<HttpExchange> mHeld = new ArrayDeque<>();

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
     * Creates a handler that delegates to {@code next}.
     *
     * @param outageError error type of the response to a call during an outage
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
            handleFaultSettings(exchange);
        } else if (isTestCall(exchange)) {
            mNext.handle(exchange);
        } else if (!holdWhileFrozen(exchange)) {
            injectFaults(exchange);
        }
    }

    /** Returns whether the call comes from a test; the fleet makes no calls of these kinds. */
    private static boolean isTestCall(HttpExchange exchange) {
        return switch (exchange.method()) {
            case "PUT", "DELETE" -> true;
            default -> exchange.path().equals("/v1/runs") || exchange.path().equals("/v1/stats");
        };
    }

    private void handleFaultSettings(HttpExchange exchange) {
        try {
            if (exchange.method().equals("PUT")) {
                mFaults.change(Json.parse(exchange.body()));
                releaseHeld();
            }
            Json.respond(exchange, 200, Json.of(mFaults.current()));
        } catch (BadRequestException e) {
            Json.respondError(exchange, 400, "bad_request", e.getMessage());
        }
    }

    private synchronized boolean holdWhileFrozen(HttpExchange exchange) {
        if (!mFaults.current().freeze()) {
            return false;
        }
        if (mHeld.size() < MAX_FROZEN) {
            mHeld.add(exchange);
        }
        return true;
    }

    private synchronized void releaseHeld() {
        while (!mFaults.current().freeze() && !mHeld.isEmpty()) {
            injectFaults(mHeld.remove());
        }
    }

    private void injectFaults(HttpExchange exchange) {
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

    /** Cuts the connection in place of sending the response. */
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
