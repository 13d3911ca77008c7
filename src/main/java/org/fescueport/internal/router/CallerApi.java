package org.fescueport.internal.router;

import io.micrometer.core.instrument.Clock;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import java.security.SecureRandom;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.fescueport.internal.decision.ChatId;
import org.fescueport.internal.decision.Declarations;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.ModelDeclaration;
import org.fescueport.internal.decision.OperationDeclaration;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.decision.ServiceDeclaration;
import org.fescueport.internal.decision.TeamDeclaration;
import org.fescueport.internal.decision.WorkKind;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.JsonError;
import org.fescueport.internal.http.Routes;
import org.fescueport.internal.security.ResumeToken;
import org.fescueport.internal.telemetry.Telemetry;

/** The callers' HTTP resources: checks a request and starts it. */
final class CallerApi {
    private static final String BEARER = "Bearer ";
    private static final int MOST_NAME_CHARS = 512;
    private static final int UUID_CHARS = 36;

    private final Supplier<Declarations> mDeclarations;
    private final RouterContext mContext;
    private final AtomicInteger mActive = new AtomicInteger();
    private final SecureRandom mRandom = new SecureRandom();

    private CallerApi(Supplier<Declarations> declarations, RouterContext context) {
        mDeclarations = declarations;
        mContext = context;
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
                    var team = teamOf(exchange, mDeclarations.get());
                    var token = resumeTokenOf(exchange, team, requestId);
                    int lastEventId = lastEventIdOf(exchange);
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

    private ResumeToken resumeTokenOf(HttpExchange exchange, TeamDeclaration team, String requestId)
            throws RequestException {
        var opened =
                mContext.tokens().openResume(exchange.header("Fescue-Resume-Token"), team.id());
        if (opened.isLeft()) {
            throw RequestException.forbidden(
                    "the Fescue-Resume-Token is not accepted: "
                            + opened.getLeft().name().toLowerCase(Locale.ROOT));
        }
        var token = opened.get();
        if (!token.attempt().request().toString().equals(requestId)) {
            throw RequestException.forbidden("the Fescue-Resume-Token is for another request");
        }
        return token;
    }

    private static int lastEventIdOf(HttpExchange exchange) throws RequestException {
        var text = exchange.header("Last-Event-ID");
        try {
            return text.isEmpty() ? 0 : Integer.parseUnsignedInt(text);
        } catch (NumberFormatException e) {
            throw RequestException.invalid(
                    "Last-Event-ID is \"" + text + "\": send the id of the last event you have");
        }
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
                    var team = teamOf(exchange, declarations);
                    var body = ChatBody.parse(exchange.body());
                    var model = modelOf(declarations, team, body.model());
                    var request = chatRequest(exchange, declarations, team, body, model, span);
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
                    var team = teamOf(exchange, declarations);
                    var service = serviceOf(declarations, team, name);
                    var operation = operationOf(service, operationName);
                    var request =
                            serviceRequest(exchange, declarations, team, service, operation, span);
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
            JsonError.respond(exchange, e.status(), e.type(), e.getMessage());
        }
    }

    private void start(HttpExchange exchange, CallerRequest request, Answer answer, Span span) {
        mContext.counters().onRequest(request.team().id().name());
        mActive.incrementAndGet();
        var run = RequestRun.of(mContext, request, answer, span, mActive::decrementAndGet);
        exchange.onAbort(run::onCallerGone);
        run.start();
    }

    private CallerRequest chatRequest(
            HttpExchange exchange,
            Declarations declarations,
            TeamDeclaration team,
            ChatBody body,
            ModelDeclaration model,
            Span span)
            throws RequestException {
        var work = model.workOf(exchange.header("Fescue-Work"));
        var chat = nameIn(exchange, "Fescue-Chat");
        return new CallerRequest(
                newId(),
                new CallerRequest.Target.Model(model.name(), body.isStreaming()),
                model.pool(),
                model.loadBound(),
                team,
                chat.isEmpty() ? body.firstMessages() : ChatId.of(chat),
                body.prefixHash(),
                body.promptTokens(),
                body.maxTokens(),
                work.priority(),
                deadline(exchange, work),
                exchange.body(),
                exchange.header("Fescue-Ticket"),
                Optional.empty(),
                Telemetry.traceparentOf(span),
                declarations.version());
    }

    private CallerRequest serviceRequest(
            HttpExchange exchange,
            Declarations declarations,
            TeamDeclaration team,
            ServiceDeclaration service,
            OperationDeclaration operation,
            Span span)
            throws RequestException {
        var key = nameIn(exchange, "Idempotency-Key");
        if (!operation.idempotent() && key.isEmpty()) {
            throw RequestException.invalid(
                    operation.name()
                            + " may not be repeated: send an Idempotency-Key that is a UUIDv7");
        }
        return new CallerRequest(
                newId(),
                new CallerRequest.Target.Service(
                        service.name(),
                        operation.name(),
                        exchange.header("Content-Type"),
                        operation.idempotent(),
                        key),
                service.pool(),
                service.loadBound(),
                team,
                ChatId.of(""),
                0,
                1,
                1,
                operation.work().priority(),
                deadline(exchange, operation.work()),
                exchange.body(),
                "",
                ownerOf(key, team, service, operation),
                Telemetry.traceparentOf(span),
                declarations.version());
    }

    /** Returns the agent that owns the key; none for a key of the caller's own making. */
    private Optional<Replica> ownerOf(
            String key,
            TeamDeclaration team,
            ServiceDeclaration service,
            OperationDeclaration operation)
            throws RequestException {
        if (key.length() <= UUID_CHARS) {
            return Optional.empty();
        }
        var opened = mContext.tokens().openOwnerBoundKey(key, team.id());
        if (opened.isLeft()) {
            throw RequestException.invalid(
                    "the Idempotency-Key is neither a UUIDv7 nor a key we issued to this team: "
                            + opened.getLeft().name().toLowerCase(Locale.ROOT));
        }
        var owned = opened.get();
        boolean isForCall =
                owned.service().name().equals(service.name())
                        && owned.operation().equals(operation.name());
        if (!isForCall) {
            throw RequestException.invalid(
                    "the Idempotency-Key was issued for "
                            + owned.service()
                            + "/"
                            + owned.operation());
        }
        var replica =
                Replica.of(owned.owner().node(), FailureDomain.of(""), owned.address())
                        .withIncarnation(owned.owner().number());
        return Optional.of(replica);
    }

    private void issueKey(HttpExchange exchange, String name, String operationName) {
        guarded(
                exchange,
                span -> {
                    var declarations = mDeclarations.get();
                    var team = teamOf(exchange, declarations);
                    var service = serviceOf(declarations, team, name);
                    var operation = operationOf(service, operationName);
                    KeyIssue.start(mContext, exchange, team, service, operation, newId());
                    span.end();
                });
    }

    private static OperationDeclaration operationOf(ServiceDeclaration service, String name)
            throws RequestException {
        var operation = service.operations().get(name);
        if (operation == null) {
            throw RequestException.notFound(
                    "service " + service.name() + " declares no operation " + name);
        }
        return operation;
    }

    private TeamDeclaration teamOf(HttpExchange exchange, Declarations declarations)
            throws RequestException {
        var header = exchange.header("Authorization");
        if (!header.startsWith(BEARER)) {
            throw RequestException.unauthorized(
                    "the request has no API key: send \"Authorization: Bearer KEY\"");
        }
        return declarations
                .teamOfKey(header.substring(BEARER.length()).strip())
                .orElseThrow(
                        () -> RequestException.unauthorized("no team has this API key in force"));
    }

    private static ModelDeclaration modelOf(
            Declarations declarations, TeamDeclaration team, String name) throws RequestException {
        var model = declarations.models().get(name);
        if (model == null) {
            throw RequestException.notFound("no model is declared as \"" + name + "\"");
        }
        requireAllowed(team, name);
        return model;
    }

    private static ServiceDeclaration serviceOf(
            Declarations declarations, TeamDeclaration team, String name) throws RequestException {
        var service = declarations.services().get(name);
        if (service == null) {
            throw RequestException.notFound("no service is declared as \"" + name + "\"");
        }
        requireAllowed(team, name);
        return service;
    }

    private static void requireAllowed(TeamDeclaration team, String target)
            throws RequestException {
        if (!team.mayCall(target)) {
            throw RequestException.forbidden("team " + team.id() + " may not call " + target);
        }
    }

    /** Returns the time by which the answer is due; a caller may ask for less than declared. */
    private long deadline(HttpExchange exchange, WorkKind work) throws RequestException {
        long millis = work.deadline().toMillis();
        var asked = exchange.header("Fescue-Deadline-Ms");
        if (!asked.isEmpty()) {
            millis = Math.min(millis, parseMillis(asked));
        }
        return clock().monotonicTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static long parseMillis(String text) throws RequestException {
        try {
            long millis = Long.parseLong(text);
            if (millis > 0) {
                return millis;
            }
        } catch (NumberFormatException e) {
            // Told below, as a number that is not positive.
        }
        throw RequestException.invalid(
                "Fescue-Deadline-Ms is \"" + text + "\": give milliseconds, at least 1");
    }

    private static String nameIn(HttpExchange exchange, String header) throws RequestException {
        var name = exchange.header(header);
        if (name.length() > MOST_NAME_CHARS) {
            throw RequestException.invalid(
                    header + " is longer than " + MOST_NAME_CHARS + " characters");
        }
        return name;
    }

    private RequestId newId() {
        return RequestId.of(mRandom.nextLong(), mRandom.nextLong());
    }

    private Clock clock() {
        return mContext.clock();
    }
}
