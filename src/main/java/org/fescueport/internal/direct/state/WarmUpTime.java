package org.fescueport.internal.direct.state;

import java.time.Duration;
import java.util.Optional;

/**
 * How much longer a replica says that it needs to warm up.
 *
 * @param remaining zero when it is warm
 * @param unreadable what it said, where that can be no such time; it counts as warm then
 */
public record WarmUpTime(Duration remaining, Optional<Long> unreadable) {
    private static final Duration MAX_WARM_UP = Duration.ofMinutes(10);

    /** Returns the time of a replica that is warm. */
    public static WarmUpTime warm() {
        return new WarmUpTime(Duration.ZERO, Optional.empty());
    }

    /** Returns the time that a replica has told, in milliseconds. */
    public static WarmUpTime ofMillis(long millis) {
        boolean readable = millis >= 0 && millis <= MAX_WARM_UP.toMillis();
        return readable
                ? new WarmUpTime(Duration.ofMillis(millis), Optional.empty())
                : new WarmUpTime(Duration.ZERO, Optional.of(millis));
    }

    /** Returns whether this says more than that the time of an earlier word goes by. */
    boolean isChangeFrom(WarmUpTime earlier) {
        return remaining.compareTo(earlier.remaining) > 0 || !unreadable.equals(earlier.unreadable);
    }
}
