package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;

/** Where an answer goes; the caller's connection. */
interface ResponseWriter {
    /** Begins the answer. */
    void sendHead(HttpResponse head);

    /** Sends part of the body; the buffer is handed over. */
    void sendContent(ByteBuf content);

    /** Sends what has been written so far. */
    void flush();

    /** Ends the answer as complete. */
    void finish();

    /** Sends a whole answer. */
    void sendFull(FullHttpResponse response);

    /** Ends the connection, so that an answer that has begun does not look complete. */
    void abort();

    /** Returns whether the caller takes more at once. */
    boolean isWritable();
}
