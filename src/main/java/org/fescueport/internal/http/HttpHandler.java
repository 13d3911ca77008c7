package org.fescueport.internal.http;

/** Answers requests that were read whole. */
@FunctionalInterface
public interface HttpHandler {
    /** Handles one request on an I/O thread: must not block; may answer later from any thread. */
    void handle(HttpExchange exchange);
}
