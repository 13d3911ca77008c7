package org.fescueport.internal.http;

/** The body of an answer that is written piece by piece; safe to use from any thread. */
public interface ResponseStream {
    /**
     * Adds a piece and returns the bytes that wait to be sent. The writer stops above its own bound
     * and goes on when {@link #onDrained} tells it to.
     */
    int write(byte[] piece);

    /** Calls {@code action}, on an I/O thread, each time the waiting bytes have all been sent. */
    void onDrained(Runnable action);

    /** Ends the body. */
    void end();

    /** Breaks the connection or the HTTP/2 stream, so that the caller sees the answer is cut. */
    void abort();
}
