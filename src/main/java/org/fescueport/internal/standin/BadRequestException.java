package org.fescueport.internal.standin;

/** A request that a stand-in cannot read; answered with status 400 and this message. */
public final class BadRequestException extends Exception {
    private static final long serialVersionUID = 1L;

    public BadRequestException(String message) {
        super(message);
    }
}
