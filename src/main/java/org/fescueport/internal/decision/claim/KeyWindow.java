package org.fescueport.internal.decision.claim;

import java.util.Optional;

/**
 * Range of ages in which an idempotency key is accepted.
 *
 * @param windowMillis maximum age in milliseconds; must be well below the retention time of the log
 * @param skewMillis time in milliseconds by which a key may lie in the future
 */
public record KeyWindow(long windowMillis, long skewMillis) {
    /** Returns the reason for which a key is refused at this wall time; empty if it is accepted. */
    public Optional<KeyRefusal> check(IdempotencyKey key, long nowMillis) {
        if (key.millis() < nowMillis - windowMillis) {
            return Optional.of(KeyRefusal.TOO_OLD);
        }
        return key.millis() > nowMillis + skewMillis
                ? Optional.of(KeyRefusal.FROM_THE_FUTURE)
                : Optional.empty();
    }
}
