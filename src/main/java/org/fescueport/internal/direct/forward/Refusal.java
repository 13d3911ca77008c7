package org.fescueport.internal.direct.forward;

import java.time.Duration;
import java.util.Optional;

/**
 * A response that this router sends in place of a replica's.
 *
 * @param requestId absent if the request could not be read that far
 * @param message for people: what happened and what to do
 * @param retryAfter time after which a retry may succeed
 */
public record Refusal(
        Reason reason, Optional<String> requestId, String message, Optional<Duration> retryAfter) {
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

    /** Why a request does not get a replica's response. */
    public enum Reason {
        /** The request violates the protocol. */
        BAD_REQUEST(400),
        /** The API key is missing or unknown. */
        UNKNOWN_KEY(401),
        /** No route matches the host and path. */
        NO_ROUTE(404),
        /** The caller took too long to send the request; it has not run. */
        TOO_SLOW(408),
        /** The body is too large. */
        BODY_TOO_LARGE(413),
        /** The headers are too large. */
        HEADERS_TOO_LARGE(431),
        /** The request was sent, and its outcome cannot be known. */
        UNKNOWN_OUTCOME(502),
        /** The request has not run and will not; a retry may succeed. */
        NOT_RUN(503),
        /** The deadline has passed, and the request may have run. */
        TIME_OVER(504);

        private final int mStatus;

        Reason(int status) {
            mStatus = status;
        }

        /** Returns the HTTP status code. */
        public int status() {
            return mStatus;
        }
    }

    /** Returns a refusal that a retry would not change. */
    public static Refusal of(Reason reason, Optional<String> requestId, String message) {
        return new Refusal(reason, requestId, message, Optional.empty());
    }

    /**
     * Returns a refusal of a request that has not been received completely. If a retry may succeed,
     * it is to be made after one second.
     */
    public static Refusal ofIncompleteRequest(
            Reason reason, Optional<String> requestId, String message) {
        Optional<Duration> retryAfter =
                reason == Reason.NOT_RUN ? Optional.of(DEFAULT_RETRY_AFTER) : Optional.empty();
        return new Refusal(reason, requestId, message, retryAfter);
    }

    /**
     * Returns a refusal of a request that has not run and may be retried after {@code retryAfter}.
     */
    public static Refusal notRun(String requestId, String message, Duration retryAfter) {
        return new Refusal(
                Reason.NOT_RUN, Optional.of(requestId), message, Optional.of(retryAfter));
    }
}
