package org.fescueport.internal.direct.forward;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;

/** How the attempt to open a connection to a replica has ended. */
enum ConnectResult {
    CONNECTED,
    /** The replica's machine refused the connection, so nothing listens at the address. */
    REFUSED,
    /** Nothing answered; the replica, its machine or the way to it may have failed. */
    NO_RESPONSE;

    /**
     * Returns the result of a finished attempt.
     *
     * @param cause why it has failed, or null if it has succeeded
     */
    static ConnectResult of(Throwable cause) {
        return switch (cause) {
            case null -> CONNECTED;
            case ConnectTimeoutException timeout -> NO_RESPONSE;
            case ConnectException refused -> REFUSED;
            default -> NO_RESPONSE;
        };
    }
}
