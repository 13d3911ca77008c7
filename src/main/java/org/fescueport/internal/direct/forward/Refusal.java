package org.fescueport.internal.direct.forward;

import java.time.Duration;
import java.util.Optional;

/**
 * An answer of the router's own.
 *
 * @param requestId absent when the request could not be read that far
 * @param message for people: what happened and what to do
 * @param retryAfter when a later try can succeed
 */
public record Refusal(
        Reason reason, Optional<String> requestId, String message, Optional<Duration> retryAfter) {
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

    /** Why a request gets no answer of a replica. */
    public enum Reason {
        /** The request breaks the protocol. */
        BAD_REQUEST(400),
        /** The API key is missing or unknown. */
        UNKNOWN_KEY(401),
        /** No route leads there. */
        NO_ROUTE(404),
        /** The caller took too long to send it; it has not run. */
        TOO_SLOW(408),
        /** The body is too large. */
        BODY_TOO_LARGE(413),
        /** The headers are too large. */
        HEADERS_TOO_LARGE(431),
        /** It was sent, and how it ended cannot be known. */
        UNKNOWN_OUTCOME(502),
        /** It has not run and will not; a later try may. */
        NOT_RUN(503),
        /** Its time is over, and it may have run. */
        TIME_OVER(504);

        private final int mStatus;

        Reason(int status) {
            mStatus = status;
        }

        /** Returns the status code for HTTP. */
        public int status() {
            return mStatus;
        }
    }

    /** Returns a refusal that a later try will not change. */
    public static Refusal of(Reason reason, Optional<String> requestId, String message) {
        return new Refusal(reason, requestId, message, Optional.empty());
    }

    /**
     * Returns a refusal of a request that has not been read to its end; where a later try can
     * succeed it names the next second.
     */
    public static Refusal ofIncompleteRequest(
            Reason reason, Optional<String> requestId, String message) {
        Optional<Duration> retryAfter =
                reason == Reason.NOT_RUN ? Optional.of(DEFAULT_RETRY_AFTER) : Optional.empty();
        return new Refusal(reason, requestId, message, retryAfter);
    }

    /** Returns a refusal of a request that has not run, with when to come back. */
    public static Refusal notRun(String requestId, String message, Duration retryAfter) {
        return new Refusal(
                Reason.NOT_RUN, Optional.of(requestId), message, Optional.of(retryAfter));
    }
}
