package org.fescueport.internal.decision.claim;

import java.util.Arrays;
import java.util.Objects;

/**
 * The recorded answer of the first run of an idempotency key.
 *
 * @param status HTTP status code
 * @param bodyKept false if the body was too large to be recorded; {@code body} is then empty
 */
public record StoredAnswer(int status, String contentType, byte[] body, boolean bodyKept) {
    /** Returns the answer, without its body if that is longer than {@code maxBodyBytes}. */
    public static StoredAnswer of(int status, String contentType, byte[] body, int maxBodyBytes) {
        boolean kept = body.length <= maxBodyBytes;
        return new StoredAnswer(status, contentType, kept ? body : new byte[0], kept);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof StoredAnswer answer
                && status == answer.status
                && contentType.equals(answer.contentType)
                && bodyKept == answer.bodyKept
                && Arrays.equals(body, answer.body);
    }

    @Override
    public int hashCode() {
        return Objects.hash(status, contentType, bodyKept, Arrays.hashCode(body));
    }
}
