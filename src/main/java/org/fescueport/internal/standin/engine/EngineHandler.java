package org.fescueport.internal.standin.engine;

import io.micrometer.core.instrument.Clock;
import io.opentelemetry.api.trace.SpanKind;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicLong;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.HttpHandler;
import org.fescueport.internal.standin.BadRequestException;
import org.fescueport.internal.standin.FaultSwitch;
import org.fescueport.internal.standin.Json;
import org.fescueport.internal.telemetry.Telemetry;

/** HTTP form of a stand-in engine. */
public final class EngineHandler implements HttpHandler {
    private static final int EVENTS_PER_ANSWER = 1000;

    private final Telemetry mTelemetry;
    private final Clock mClock;
    private final FaultSwitch mFaults;
    private final CacheEvents mEvents;
    private final PrefixCache mCache;
    private final BatchScheduler mScheduler;
    private final Orders mOrders;
    private final ScheduledExecutorService mExecutor;
    private final AtomicLong mAnswers = new AtomicLong();

    private EngineHandler(
            EngineSettings settings,
            Clock clock,
            ScheduledExecutorService executor,
            FaultSwitch faults,
            Telemetry telemetry,
            Runnable crash) {
        mTelemetry = telemetry;
        mClock = clock;
        mFaults = faults;
        mExecutor = executor;
        mEvents = CacheEvents.create(clock, faults);
        mCache = PrefixCache.create(settings.cacheBlocks(), mEvents);
        mScheduler = BatchScheduler.create(settings, clock, executor, faults, mCache, crash);
        mOrders =
                Orders.create(
                        settings.checksFencing(),
                        clock,
                        faults,
                        () -> mScheduler.stats().running());
    }

    /**
     * Returns an idle engine.
     *
     * @param executor has one thread, which the engine alone uses
     * @param crash ends the process at once
     */
    public static EngineHandler create(
            EngineSettings settings,
            Clock clock,
            ScheduledExecutorService executor,
            FaultSwitch faults,
            Telemetry telemetry,
            Runnable crash) {
        return new EngineHandler(settings, clock, executor, faults, telemetry, crash);
    }

    /** Returns whether no request runs or waits. */
    public boolean isIdle() {
        var stats = mScheduler.stats();
        return stats.running() == 0 && stats.waiting() == 0;
    }

    @Override
    public void handle(HttpExchange exchange) {
        try {
            route(exchange);
        } catch (BadRequestException e) {
            Json.respondError(exchange, 400, "bad_request", e.getMessage());
        }
    }

    private void route(HttpExchange exchange) throws BadRequestException {
        switch (exchange.method() + " " + exchange.path()) {
            case "POST /v1/chat/completions" -> generate(exchange);
            case "GET /v1/load" -> respondLoad(exchange);
            case "POST /v1/orders" -> mOrders.handle(exchange);
            case "GET /v1/orders" -> Json.respond(exchange, 200, mOrders.toJson());
            case "POST /v1/kv/export" -> exportCache(exchange);
            case "POST /v1/kv/import" -> importCache(exchange);
            case "GET /v1/cache-events" -> respondEvents(exchange);
            case "GET /v1/stats" -> Json.respond(exchange, 200, Json.of(mScheduler.stats()));
            case "GET /healthz" ->
                    Json.respondText(exchange, 200, mFaults.current().leaving() ? "leaving" : "ok");
            default -> Json.respondError(exchange, 404, "not_found", "no such path");
        }
    }

    private void generate(HttpExchange exchange) throws BadRequestException {
        if (mOrders.isLoading()) {
            Json.respondError(exchange, 503, "loading", "the engine loads its weights");
            return;
        }
        var request = ChatRequest.parse(exchange.body());
        var head =
                AnswerHead.of(
                        "chatcmpl-" + mAnswers.incrementAndGet(),
                        request.model(),
                        mClock.wallTime() / 1000);
        var answer =
                request.stream()
                        ? StreamedAnswer.create(exchange, head)
                        : WholeAnswer.create(exchange, head);
        var span =
                mTelemetry.startSpan(
                        "engine.generate", SpanKind.SERVER, exchange.header("traceparent"));
        var handle = mScheduler.submit(request, new TracedGeneration(answer, span));
        exchange.onAbort(
                () -> {
                    handle.cancel();
                    span.end();
                });
        if (answer instanceof StreamedAnswer streamed) {
            streamed.whenDrained(handle::resume);
        }
    }

    private void respondLoad(HttpExchange exchange) {
        var stats = mScheduler.laggingStats();
        var load = Json.object();
        load.put("running", stats.running());
        load.put("waiting", stats.waiting());
        load.put("cachedBlocks", stats.cachedBlocks());
        load.put("version", mOrders.version());
        Json.respond(exchange, 200, load);
    }

    private void exportCache(HttpExchange exchange) throws BadRequestException {
        var blocks = PrefixCache.blocksOf(ChatRequest.parse(exchange.body()).promptTokens());
        mExecutor.execute(
                () -> {
                    int cached = mCache.cachedBlocks(blocks);
                    if (cached == 0) {
                        Json.respondError(exchange, 404, "not_cached", "no block is cached");
                        return;
                    }
                    var bytes = ByteBuffer.allocate(cached * Long.BYTES);
                    bytes.asLongBuffer().put(blocks, 0, cached);
                    exchange.respond(
                            200, Map.of("Content-Type", "application/octet-stream"), bytes.array());
                });
    }

    private void importCache(HttpExchange exchange) throws BadRequestException {
        var body = exchange.body();
        if (body.length == 0 || body.length % Long.BYTES != 0) {
            throw new BadRequestException("the body is not an exported cache");
        }
        var blocks = new long[body.length / Long.BYTES];
        ByteBuffer.wrap(body).asLongBuffer().get(blocks);
        mExecutor.execute(
                () -> {
                    mCache.store(blocks);
                    Json.respond(exchange, 200, Json.object().put("blocks", blocks.length));
                });
    }

    private void respondEvents(HttpExchange exchange) throws BadRequestException {
        long after = Json.number(exchange, "after", 0);
        var body = Json.object();
        var list = body.putArray("events");
        for (var event : mEvents.after(after, EVENTS_PER_ANSWER)) {
            list.addObject()
                    .put("number", event.number())
                    .put("kind", event.kind().name().toLowerCase(java.util.Locale.ROOT))
                    .put("block", Long.toHexString(event.block()));
        }
        Json.respond(exchange, 200, body);
    }
}
