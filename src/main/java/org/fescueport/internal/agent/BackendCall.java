package org.fescueport.internal.agent;

import java.nio.charset.StandardCharsets;
import org.fescueport.internal.decision.Outcome;
import org.fescueport.internal.wire.generated.Submit;
import org.fescueport.port.Engine;
import org.fescueport.port.PlainService;
import org.fescueport.port.PlatformException;

/** Runs one attempt on the backend server. */
final class BackendCall {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVER_ERROR = 500;
    private static final Engine.Handle NO_HANDLE =
            new Engine.Handle() {
                @Override
                public void cancel() {
                    // A plain service's call cannot be taken back.
                }

                @Override
                public void setReading(boolean reading) {
                    // A plain service's answer is gathered whole.
                }
            };

    private BackendCall() {}

    /** Starts the attempt and returns what stops it. */
    static Engine.Handle start(
            Backend backend, Submit submit, String traceparent, BackendListener listener) {
        return switch (backend) {
            case Backend.Model model -> generate(model.engine(), submit, traceparent, listener);
            case Backend.Service service -> call(service.service(), submit, traceparent, listener);
        };
    }

    private static Engine.Handle generate(
            Engine engine, Submit submit, String traceparent, BackendListener listener) {
        var generation =
                new Engine.Generation(
                        submit.getBody().toByteArray(),
                        submit.getPriority(),
                        submit.getResumeText(),
                        traceparent);
        return engine.generate(generation, new GenerationListener(listener));
    }

    private static Engine.Handle call(
            PlainService service, Submit submit, String traceparent, BackendListener listener) {
        var request =
                new PlainService.Request(
                        submit.getOperation(),
                        "application/json",
                        submit.getBody().toByteArray(),
                        submit.getIdempotencyKey(),
                        traceparent,
                        submit.getDeadlineInMs());
        service.call(request)
                .whenComplete(
                        (response, failure) -> {
                            if (failure != null) {
                                listener.onEnd(endOf(PlatformFailures.of(failure)));
                            } else {
                                listener.onStarted(0);
                                listener.onPiece(response.body(), 0);
                                listener.onEnd(endOf(response));
                            }
                        });
        return NO_HANDLE;
    }

    private static BackendListener.End endOf(PlainService.Response response) {
        return new BackendListener.End(
                Outcome.COMPLETED,
                "",
                "",
                response.status(),
                response.contentType(),
                "",
                BackendListener.Usage.NONE);
    }

    private static BackendListener.End endOf(PlatformException failure) {
        return switch (failure.effect()) {
            case NONE ->
                    BackendListener.End.failed(
                            Outcome.NOT_RUN, "backend_unreachable", failure.getMessage());
            case UNKNOWN ->
                    BackendListener.End.failed(
                            Outcome.UNKNOWN, "backend_lost", failure.getMessage());
        };
    }

    private record GenerationListener(BackendListener listener) implements Engine.Listener {
        @Override
        public void onStarted(int promptTokens, int cachedTokens) {
            listener.onStarted(cachedTokens);
        }

        @Override
        public void onText(String text, int tokens) {
            listener.onPiece(text.getBytes(StandardCharsets.UTF_8), tokens);
        }

        @Override
        public void onCompleted(
                String finishReason, int promptTokens, int cachedTokens, int tokens) {
            var usage = new BackendListener.Usage(promptTokens, cachedTokens, tokens);
            listener.onEnd(
                    new BackendListener.End(
                            Outcome.COMPLETED, "", "", 200, "", finishReason, usage));
        }

        @Override
        public void onRefused(int status, String detail) {
            boolean isCallersFault = status < SERVER_ERROR && status != TOO_MANY_REQUESTS;
            var reason = isCallersFault ? "invalid_request" : "backend_refused";
            listener.onEnd(BackendListener.End.failed(Outcome.NOT_RUN, reason, detail));
        }

        @Override
        public void onFailed(PlatformException failure) {
            var end = endOf(failure);
            // A generation changes nothing, so one that was lost has simply failed.
            listener.onEnd(
                    end.outcome() == Outcome.NOT_RUN
                            ? end
                            : BackendListener.End.failed(
                                    Outcome.FAILED_AFTER_RUN, end.reason(), end.detail()));
        }
    }
}
