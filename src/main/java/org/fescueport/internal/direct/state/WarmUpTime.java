package org.fescueport.internal.direct.state;

import java.time.Duration;
import java.util.Optional;

/**
 * The remaining time that a replica reports it needs to warm up.
 *
 * @param remaining zero if the replica is warm
 * @param unreadable reported value in milliseconds if it is out of range; the replica then counts
 *     as warm
 */
public record WarmUpTime(Duration remaining, Optional<Long> unreadable) {
    private static final Duration MAX_WARM_UP = Duration.ofMinutes(10);

    /** Returns the value for a replica that is warm. */
    public static WarmUpTime warm() {
        return new WarmUpTime(Duration.ZERO, Optional.empty());
    }

    /** Returns the value for a time that a replica reports, in milliseconds. */
    public static WarmUpTime ofMillis(long millis) {
        boolean readable = millis >= 0 && millis <= MAX_WARM_UP.toMillis();
        return readable
                ? new WarmUpTime(Duration.ofMillis(millis), Optional.empty())
                : new WarmUpTime(Duration.ZERO, Optional.of(millis));
    }

    /** Returns whether this differs from an earlier report by more than the passage of time. */
    boolean isChangeFrom(WarmUpTime earlier) {
        return remaining.compareTo(earlier.remaining) > 0 || !unreadable.equals(earlier.unreadable);
    }
}
