package org.fescueport.internal.direct.config;

import java.time.Duration;

/**
 * What a caller may send and how long it may take.
 *
 * @param headerTimeout longest time from the first byte of a request to the end of its headers
 * @param connectionIdleTimeout time without a request after which a connection is closed
 */
public record CallerLimits(
        int maxHeaderBytes,
        int maxBodyBytes,
        Duration headerTimeout,
        Duration connectionIdleTimeout) {
    /** Returns the limits that hold until a configuration is known. */
    public static CallerLimits defaults() {
        return new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
    }
}
