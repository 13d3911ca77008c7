package org.fescueport.port;

import java.util.concurrent.CompletableFuture;

/**
 * A plain HTTP service behind an agent.
 *
 * <p>Futures fail with {@link PlatformException}; one whose effect is unknown may have been run.
 */
public interface PlainService {
    /**
     * One call.
     *
     * @param idempotencyKey the caller's key, handed on in {@code Idempotency-Key}; may be empty
     */
    record Request(
            String operation,
            String contentType,
            byte[] body,
            String idempotencyKey,
            String traceparent,
            long timeoutMillis) {}

    /** The service's answer. */
    record Response(int status, String contentType, byte[] body) {}

    /** Calls the service once; nothing is retried here. */
    CompletableFuture<Response> call(Request request);

    /** Fails when the service does not answer its health check. */
    CompletableFuture<Void> checkHealth();
}
