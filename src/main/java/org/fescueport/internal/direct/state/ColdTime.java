package org.fescueport.internal.direct.state;

import java.time.Duration;
import java.util.Optional;

/**
 * How much longer a replica says that it needs to warm up.
 *
 * @param left zero when it is warm
 * @param unreadable what it said, where that can be no such time; it counts as warm then
 */
public record ColdTime(Duration left, Optional<Long> unreadable) {
    private static final Duration LONGEST = Duration.ofMinutes(10);

    /** Returns the time of a replica that is warm. */
    public static ColdTime none() {
        return new ColdTime(Duration.ZERO, Optional.empty());
    }

    /** Returns the time that a replica has told, in milliseconds. */
    public static ColdTime ofMillis(long millis) {
        boolean readable = millis >= 0 && millis <= LONGEST.toMillis();
        return readable
                ? new ColdTime(Duration.ofMillis(millis), Optional.empty())
                : new ColdTime(Duration.ZERO, Optional.of(millis));
    }

    /** Returns whether this says more than that the time of an earlier word goes by. */
    boolean isNewsAfter(ColdTime earlier) {
        return left.compareTo(earlier.left) > 0 || !unreadable.equals(earlier.unreadable);
    }
}
