package org.fescueport.internal.http;

/** An HTTP call that gave no answer. */
public final class HttpCallException extends Exception {
    private static final long serialVersionUID = 1L;

    private final boolean mSent;

    private HttpCallException(boolean sent, String message, Throwable cause) {
        super(message, cause);
        mSent = sent;
    }

    /** Returns an error of a call of which no byte was sent. */
    public static HttpCallException notSent(String message, Throwable cause) {
        return new HttpCallException(false, message, cause);
    }

    /** Returns an error of a call that may have reached the server. */
    public static HttpCallException maybeSent(String message, Throwable cause) {
        return new HttpCallException(true, message, cause);
    }

    /** Returns whether the request may have reached the server. */
    public boolean maybeSent() {
        return mSent;
    }
}
