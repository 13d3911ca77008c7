package org.fescueport.internal.http1;

import java.io.IOException;

/** Thrown for bytes that HTTP/1.1 does not allow in a response; the message states the reason. */
public final class MalformedResponseException extends IOException {
    private static final long serialVersionUID = 1L;

    private MalformedResponseException(String message) {
        super(message);
    }

    /** Returns an exception with this reason. */
    public static MalformedResponseException of(String reason) {
        return new MalformedResponseException(reason);
    }
}
