package org.fescueport.internal.http;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Calls HTTP servers. Futures fail with {@link HttpCallException}. */
public interface HttpCaller extends AutoCloseable {
    /** A request; {@code url} is absolute. */
    record Request(
            String method,
            String url,
            Map<String, String> headers,
            byte[] body,
            Duration timeout) {}

    /**
     * A whole answer.
     *
     * @param entityTag value of the header {@code ETag}; empty when there is none
     */
    record Response(int status, String contentType, byte[] body, String entityTag) {}

    /** Receives an answer piece by piece, on an I/O thread. */
    interface StreamListener {
        /** A header of the answer, before {@link #onHead}. */
        default void onHeader(String name, String value) {}

        /** The head of the answer arrived. */
        void onHead(int status, String contentType);

        /** A piece of the body arrived; the buffer is valid during the call only. */
        void onData(ByteBuffer data);

        /** The body ended as it should. */
        void onEnd();

        /** The call failed; nothing more follows. */
        void onFailed(HttpCallException failure);
    }

    /** A running call. */
    interface Call {
        /** Breaks the call off; its connection is closed and not used again. */
        void cancel();

        /** Stops or continues reading the answer, so that a slow reader slows the server. */
        void setReading(boolean reading);
    }

    /** Makes a call and gathers the whole answer. */
    CompletableFuture<Response> call(Request request);

    /** Makes a call whose answer is received piece by piece. */
    Call stream(Request request, StreamListener listener);

    @Override
    void close();
}
