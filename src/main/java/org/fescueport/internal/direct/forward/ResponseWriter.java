package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** Writes the response to a request to the caller's connection. */
interface ResponseWriter {
    /** Starts the response. */
    void sendHead(HttpResponse head);

    /** Writes part of the body. Takes ownership of the buffer. */
    void sendContent(ByteBuf content);

    /** Sends what has been written so far. */
    void flush();

    /** Ends the response as complete. */
    void finish();

    /** Sends a complete response. */
    void sendFull(FullHttpResponse response);

    /** Closes the connection, so that a response that has been started does not look complete. */
    void abort();

    /**
     * Returns whether more can be written without exceeding the connection's write buffer limit.
     */
    boolean isWritable();

    /** Returns whether more of the response may be read from the replica. */
    boolean mayReadOn();
}
