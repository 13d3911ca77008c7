package org.fescueport.internal.wire;

/** A failure between two processes of the fleet. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private WireException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Returns an error that says what happened and why. */
    public static WireException of(String message, Throwable cause) {
        return new WireException(message, cause);
    }
}
