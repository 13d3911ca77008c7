package org.fescueport.internal.http;

import java.util.Map;

/** One request and the way to answer it, over HTTP/1.1 or HTTP/2. */
public interface HttpExchange {
    /** Returns the method in upper case. */
    String method();

    /** Returns the path without the query. */
    String path();

    /** Returns the value of a query parameter, or {@code fallback} when it is absent. */
    String query(String name, String fallback);

    /** Returns the first header of this name, or the empty text when it is absent. */
    String header(String name);

    /** Returns the whole body. */
    byte[] body();

    /** Answers at once with a whole body; a later answer to the same exchange is ignored. */
    void respond(int status, Map<String, String> headers, byte[] body);

    /** Answers with a body that is written piece by piece. */
    ResponseStream stream(int status, Map<String, String> headers);

    /** Calls {@code action} once if the caller goes away before the answer is whole. */
    void onAbort(Runnable action);
}
