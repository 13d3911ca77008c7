package org.fescueport.internal.supervision;

import java.time.Duration;

/**
 * How a supervisor restarts its children.
 *
 * @param firstDelay wait before the first restart; doubles with each restart in the window
 * @param longestDelay the wait never grows above this
 * @param restarts restarts of one child in the window after which the supervisor itself fails
 * @param window time over which restarts count
 */
public record RestartPolicy(
        Duration firstDelay, Duration longestDelay, int restarts, Duration window) {
    /** Returns the policy that programs use unless they say otherwise. */
    public static RestartPolicy standard() {
        return new RestartPolicy(
                Duration.ofMillis(100), Duration.ofSeconds(5), 10, Duration.ofMinutes(1));
    }

    Duration delayAfter(int restartsInWindow) {
        long factor = 1L << Math.min(restartsInWindow, 20);
        var delay = firstDelay.multipliedBy(factor);
        return delay.compareTo(longestDelay) > 0 ? longestDelay : delay;
    }
}
