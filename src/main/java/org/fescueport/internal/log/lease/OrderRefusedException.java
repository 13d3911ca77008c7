package org.fescueport.internal.log.lease;

/** An order that was not passed on to the engine: it surely had no effect. */
public final class OrderRefusedException extends Exception {
    private static final long serialVersionUID = 1L;

    OrderRefusedException(String message, Throwable cause) {
        super(message, cause);
    }
}
