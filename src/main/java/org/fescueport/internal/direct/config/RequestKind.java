package org.fescueport.internal.direct.config;

/** What may be repeated of a route's requests, and whether the answer is a series of events. */
public enum RequestKind {
    /** May run any number of times. */
    REPEATABLE(true, false),
    /** May run once for each request of a caller. */
    ONCE(false, false),
    /** A series of events that may not begin again. */
    STREAM_ONCE(false, true),
    /** A series of events that another replica may continue behind the last one delivered. */
    STREAM_RESUMABLE(true, true);

    private final boolean mRepeatable;
    private final boolean mStream;

    RequestKind(boolean repeatable, boolean stream) {
        mRepeatable = repeatable;
        mStream = stream;
    }

    /** Returns whether a request may be sent again after it may have run. */
    public boolean isRepeatable() {
        return mRepeatable;
    }

    /** Returns whether answers are events that are passed on as they come. */
    public boolean isStream() {
        return mStream;
    }
}
