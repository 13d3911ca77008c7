package org.fescueport.internal.router;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.fescueport.internal.decision.Outcome;

/**
 * Why a caller gets no whole answer.
 *
 * @param retryAfterMillis when a later try can succeed; 0 when none is advised
 */
record Failure(Outcome outcome, String type, String message, long retryAfterMillis) {
    private static final long MILLIS_PER_SECOND = 1000;

    static Failure of(Outcome outcome, String type, String message, long retryAfterMillis) {
        return new Failure(outcome, type, message, retryAfterMillis);
    }

    int status() {
        if (outcome == Outcome.NOT_RUN && Reasons.isCallersFault(type)) {
            return Reasons.statusOf(type);
        }
        return switch (outcome) {
            case NOT_RUN -> 503;
            case FAILED_AFTER_RUN -> 502;
            case UNKNOWN, COMPLETED -> 504;
        };
    }

    /** Returns the outcome as headers tell it: {@code not_run}, {@code unknown} and so on. */
    static String nameOf(Outcome outcome) {
        return outcome.name().toLowerCase(Locale.ROOT);
    }

    Map<String, String> headers() {
        Map<String, String> headers = new HashMap<>();
        headers.put("Fescue-Outcome", nameOf(outcome));
        if (retryAfterMillis > 0) {
            long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            headers.put("Retry-After", Long.toString(seconds));
        }
        return headers;
    }
}
