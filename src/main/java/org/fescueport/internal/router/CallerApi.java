package org.fescueport.internal.router;

import io.micrometer.core.instrument.Clock;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.fescueport.internal.decision.Declarations;
import org.fescueport.internal.decision.Outcome;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.JsonError;
import org.fescueport.internal.http.Routes;

/** The callers' HTTP resources: checks a request and starts it. */
final class CallerApi {
    private final Supplier<Declarations> mDeclarations;
    private final RouterContext mContext;
    private final CallerRequestReader mReader;
    private final AtomicInteger mActive = new AtomicInteger();

    private CallerApi(Supplier<Declarations> declarations, RouterContext context) {
        mDeclarations = declarations;
        mContext = context;
        mReader = CallerRequestReader.of(context);
    }

    static CallerApi create(Supplier<Declarations> declarations, RouterContext context) {
        return new CallerApi(declarations, context);
    }

    Routes addTo(Routes routes) {
        return routes.post("/v1/chat/completions", (exchange, path) -> chat(exchange))
                .post(
                        "/v1/services/{service}/{operation}",
                        (exchange, path) ->
                                service(exchange, path.get("service"), path.get("operation")))
                .post(
                        "/v1/services/{service}/{operation}/keys",
                        (exchange, path) ->
                                issueKey(exchange, path.get("service"), path.get("operation")))
                .get(
                        "/v1/answers/{request}",
                        (exchange, path) -> resume(exchange, path.get("request")));
    }

    private void resume(HttpExchange exchange, String requestId) {
        guarded(
                exchange,
                span -> {
                    var team = Entitlement.teamOf(exchange, mDeclarations.get());
                    var token = mReader.resumeToken(exchange, team, requestId);
                    int lastEventId = mReader.lastEventId(exchange);
                    var json =
                            ChunkJson.of(
                                    requestId,
                                    exchange.query("model", ""),
                                    TimeUnit.MILLISECONDS.toSeconds(clock().wallTime()));
                    mActive.incrementAndGet();
                    var resumed =
                            ResumedAnswer.of(
                                    mContext,
                                    token,
                                    lastEventId,
                                    EventAnswer.of(exchange, json),
                                    span,
                                    mActive::decrementAndGet);
                    exchange.onAbort(resumed::onCallerGone);
                    resumed.start(ResumedAnswer.holderOf(token));
                });
    }

    /** Returns the requests that have no final answer yet. */
    int active() {
        return mActive.get();
    }

    private void chat(HttpExchange exchange) {
        guarded(
                exchange,
                span -> {
                    var declarations = mDeclarations.get();
                    var team = Entitlement.teamOf(exchange, declarations);
                    var body = ChatBody.parse(exchange.body());
                    var model = Entitlement.modelOf(declarations, team, body.model());
                    var request =
                            mReader.chatRequest(exchange, declarations, team, body, model, span);
                    var json =
                            ChunkJson.of(
                                    request.id().toString(),
                                    model.name(),
                                    TimeUnit.MILLISECONDS.toSeconds(clock().wallTime()));
                    Answer answer =
                            body.isStreaming()
                                    ? EventAnswer.of(exchange, json)
                                    : WholeAnswer.of(exchange, new WholeAnswer.Form.Chat(json));
                    start(exchange, request, answer, span);
                });
    }

    private void service(HttpExchange exchange, String name, String operationName) {
        guarded(
                exchange,
                span -> {
                    var declarations = mDeclarations.get();
                    var team = Entitlement.teamOf(exchange, declarations);
                    var service = Entitlement.serviceOf(declarations, team, name);
                    var operation = Entitlement.operationOf(service, operationName);
                    var request =
                            mReader.serviceRequest(
                                    exchange, declarations, team, service, operation, span);
                    start(
                            exchange,
                            request,
                            WholeAnswer.of(exchange, new WholeAnswer.Form.Service()),
                            span);
                });
    }

    private interface Handling {
        void run(Span span) throws RequestException;
    }

    private void guarded(HttpExchange exchange, Handling handling) {
        var span =
                mContext.telemetry()
                        .startSpan(
                                "router.request", SpanKind.SERVER, exchange.header("traceparent"));
        try {
            handling.run(span);
        } catch (RequestException e) {
            mContext.counters().onRejected(e.type());
            span.end();
            var headers = outcomeOf(exchange);
            JsonError.respond(exchange, e.status(), e.type(), e.getMessage(), headers);
        }
    }

    /** What a GET resumes may have run; a sending that is refused here surely did not. */
    private static Map<String, String> outcomeOf(HttpExchange exchange) {
        return exchange.method().equals("POST")
                ? Map.of("Fescue-Outcome", Failure.nameOf(Outcome.NOT_RUN))
                : Map.of();
    }

    private void start(HttpExchange exchange, CallerRequest request, Answer answer, Span span) {
        mContext.counters().onRequest(request.team().id().name());
        mActive.incrementAndGet();
        var run = RequestRun.of(mContext, request, answer, span, mActive::decrementAndGet);
        exchange.onAbort(run::onCallerGone);
        run.start();
    }

    private void issueKey(HttpExchange exchange, String name, String operationName) {
        guarded(
                exchange,
                span -> {
                    var declarations = mDeclarations.get();
                    var team = Entitlement.teamOf(exchange, declarations);
                    var service = Entitlement.serviceOf(declarations, team, name);
                    var operation = Entitlement.operationOf(service, operationName);
                    KeyIssue.start(mContext, exchange, team, service, operation, mReader.newId());
                    span.end();
                });
    }

    private Clock clock() {
        return mContext.clock();
    }
}
