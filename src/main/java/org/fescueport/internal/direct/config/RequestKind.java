package org.fescueport.internal.direct.config;

/** Whether requests of a route may be repeated, and whether their responses are event streams. */
public enum RequestKind {
    /** May be processed any number of times. */
    REPEATABLE(true, false),
    /** May be processed once for each request of a caller. */
    ONCE(false, false),
    /** An event stream that must not start again. */
    STREAM_ONCE(false, true),
    /** An event stream that another replica may continue after the last event delivered. */
    STREAM_RESUMABLE(true, true);

    private final boolean mRepeatable;
    private final boolean mStream;

    RequestKind(boolean repeatable, boolean stream) {
        mRepeatable = repeatable;
        mStream = stream;
    }

    /** Returns whether a request may be sent again after it may have been processed. */
    public boolean isRepeatable() {
        return mRepeatable;
    }

    /** Returns whether responses consist of events that are forwarded as they arrive. */
    public boolean isStream() {
        return mStream;
    }
}
