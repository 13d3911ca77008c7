package org.fescueport.internal.direct.state;

import java.util.Objects;

/** Thrown if a call to the shared store failed. */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Why the call failed, as far as it is known. */
    public enum Cause {
        /** The requested records have expired; the newest ones must be read instead. */
        HISTORY_GONE,
        /** The response is from before the store was restored from a backup. */
        FORMER_ERA,
        /** The store refused the call; nothing was done. */
        TURNED_AWAY,
        /** No response came; a write may have been done, or may still be. */
        UNANSWERED,
        /** The response could not be decoded. */
        UNREADABLE
    }

    private final Cause mCause;

    private StoreException(Cause cause, String message) {
        super(message);
        mCause = Objects.requireNonNull(cause);
    }

    /**
     * Returns the exception for this cause; the message says what was requested and what was
     * received.
     */
    public static StoreException of(Cause cause, String message) {
        return new StoreException(cause, message);
    }

    /** Returns why the call failed. */
    public Cause reason() {
        return mCause;
    }
}
