package org.fescueport.internal.direct.config;

import java.time.Duration;

/**
 * Limits on the size and the duration of callers' requests.
 *
 * @param maxHeaderBytes maximum size of the headers of a request
 * @param maxBodyBytes maximum size of the body of a request
 * @param headerTimeout maximum time from the first byte of a request to the end of its headers
 * @param connectionIdleTimeout time without a request after which a connection is closed
 */
public record CallerLimits(
        int maxHeaderBytes,
        int maxBodyBytes,
        Duration headerTimeout,
        Duration connectionIdleTimeout) {
    /** Returns the limits that apply until a configuration is known. */
    public static CallerLimits defaults() {
        return new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15));
    }
}
