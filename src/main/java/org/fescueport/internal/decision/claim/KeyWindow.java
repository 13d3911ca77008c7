package org.fescueport.internal.decision.claim;

import java.util.Optional;

/**
 * The ages at which an idempotency key is accepted.
 *
 * @param windowMillis greatest age; well inside the log's retention
 * @param skewMillis time by which a key may lie in the future
 */
public record KeyWindow(long windowMillis, long skewMillis) {
    /** Returns why a key is refused at this wall time, if it is. */
    public Optional<KeyRefusal> check(IdempotencyKey key, long nowMillis) {
        if (key.millis() < nowMillis - windowMillis) {
            return Optional.of(KeyRefusal.TOO_OLD);
        }
        return key.millis() > nowMillis + skewMillis
                ? Optional.of(KeyRefusal.FROM_THE_FUTURE)
                : Optional.empty();
    }
}
