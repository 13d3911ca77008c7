package org.fescueport.internal.standin.service;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.TreeMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.HttpHandler;
import org.fescueport.internal.standin.FaultSwitch;
import org.fescueport.internal.standin.Json;

/** HTTP form of a stand-in plain service, which counts the runs of each idempotency key. */
public final class ServiceHandler implements HttpHandler {
    private static final int MOST_KEYS = 500_000;

    private final FaultSwitch mFaults;
    private final ScheduledExecutorService mExecutor;
    private final TreeMap<String, Integer> mRuns = new TreeMap<>();
    private final AtomicInteger mRunning = new AtomicInteger();
    private long mCalls;

    private ServiceHandler(ScheduledExecutorService executor, FaultSwitch faults) {
        mExecutor = executor;
        mFaults = faults;
    }

    /** Returns a service that has run nothing. */
    public static ServiceHandler create(ScheduledExecutorService executor, FaultSwitch faults) {
        return new ServiceHandler(executor, faults);
    }

    /** Returns the answer to this body: the caller can check it. */
    public static String answerFor(String operation, byte[] body) {
        long hash = Hashing.xxh3_64().hashBytesToLong(body);
        return operation + "-" + Long.toHexString(hash);
    }

    /** Returns whether no call runs. */
    public boolean isIdle() {
        return mRunning.get() == 0;
    }

    @Override
    public void handle(HttpExchange exchange) {
        switch (exchange.method() + " " + exchange.path()) {
            case "GET /v1/runs" -> Json.respond(exchange, 200, runs());
            case "GET /v1/stats" -> Json.respond(exchange, 200, stats());
            case "GET /healthz" ->
                    Json.respondText(exchange, 200, mFaults.current().leaving() ? "leaving" : "ok");
            default -> call(exchange);
        }
    }

    private void call(HttpExchange exchange) {
        if (!exchange.method().equals("POST") || exchange.path().lastIndexOf('/') != 0) {
            Json.respondError(exchange, 404, "not_found", "POST /{operation}");
            return;
        }
        if (!count(exchange.header("Idempotency-Key"))) {
            Json.respondError(exchange, 503, "too_many_keys", "nothing was run");
            return;
        }
        mRunning.incrementAndGet();
        long delay = mFaults.current().delayMillis();
        mExecutor.schedule(() -> answer(exchange), delay, TimeUnit.MILLISECONDS);
    }

    private void answer(HttpExchange exchange) {
        mRunning.decrementAndGet();
        var operation = exchange.path().substring(1);
        var answer = Json.object();
        answer.put("operation", operation);
        answer.put("confirmation", answerFor(operation, exchange.body()));
        Json.respond(exchange, 200, answer);
    }

    private synchronized boolean count(String key) {
        if (mRuns.size() >= MOST_KEYS && !mRuns.containsKey(key)) {
            return false;
        }
        mCalls++;
        mRuns.merge(key, 1, Integer::sum);
        return true;
    }

    private synchronized ObjectNode runs() {
        return Json.of(mRuns);
    }

    private synchronized ObjectNode stats() {
        var repeated = mRuns.entrySet().stream().filter(e -> !e.getKey().isEmpty());
        long duplicates = repeated.mapToLong(e -> e.getValue() - 1).sum();
        return Json.object().put("calls", mCalls).put("duplicateRuns", duplicates);
    }
}
