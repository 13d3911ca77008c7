package org.fescueport.internal.router;

import io.opentelemetry.api.trace.Span;
import java.security.SecureRandom;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
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
import org.fescueport.internal.security.ResumeToken;
import org.fescueport.internal.telemetry.Telemetry;

/** Reads a caller's headers, tokens and body into a request that has passed every check. */
final class CallerRequestReader {
    private static final int MOST_NAME_CHARS = 512;
    private static final int UUID_CHARS = 36;

    private final RouterContext mContext;
    private final SecureRandom mRandom = new SecureRandom();

    private CallerRequestReader(RouterContext context) {
        mContext = context;
    }

    static CallerRequestReader of(RouterContext context) {
        return new CallerRequestReader(context);
    }

    CallerRequest chatRequest(
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

    CallerRequest serviceRequest(
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

    ResumeToken resumeToken(HttpExchange exchange, TeamDeclaration team, String requestId)
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

    int lastEventId(HttpExchange exchange) throws RequestException {
        var text = exchange.header("Last-Event-ID");
        try {
            return text.isEmpty() ? 0 : Integer.parseUnsignedInt(text);
        } catch (NumberFormatException e) {
            throw RequestException.invalid(
                    "Last-Event-ID is \"" + text + "\": send the id of the last event you have");
        }
    }

    RequestId newId() {
        return RequestId.of(mRandom.nextLong(), mRandom.nextLong());
    }

    /** Returns the time by which the answer is due; a caller may ask for less than declared. */
    private long deadline(HttpExchange exchange, WorkKind work) throws RequestException {
        long millis = work.deadline().toMillis();
        var asked = exchange.header("Fescue-Deadline-Ms");
        if (!asked.isEmpty()) {
            millis = Math.min(millis, parseMillis(asked));
        }
        return mContext.clock().monotonicTime() + TimeUnit.MILLISECONDS.toNanos(millis);
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
}
