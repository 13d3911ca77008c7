package org.fescueport.internal.standin;

/** Thrown for an invalid request; the stand-in responds with status 400 and the message. */
public final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    public BadRequestException(String message) {
        super(message);
    }
}
