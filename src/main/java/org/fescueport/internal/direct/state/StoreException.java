package org.fescueport.internal.direct.state;

import java.util.Objects;

/** Thrown when the shared store did not do what was asked of it. */
public final class StoreException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Why, as far as it can be known. */
    public enum Cause {
        /** The records asked for have expired; the newest ones must be read instead. */
        HISTORY_GONE,
        /** The answer is of a time before the store came back from a copy. */
        FORMER_ERA,
        /** The store refused the call; nothing was done. */
        TURNED_AWAY,
        /** No answer came; a write may have been done, or may still be. */
        UNANSWERED,
        /** The answer could not be read. */
        UNREADABLE
    }

    private final Cause mCause;

    private StoreException(Cause cause, String message) {
        super(message);
        mCause = Objects.requireNonNull(cause);
    }

    /** Returns the exception for this cause; the message says what was asked and what came. */
    public static StoreException of(Cause cause, String message) {
        return new StoreException(cause, message);
    }

    /** Returns why. */
    public Cause reason() {
        return mCause;
    }
}
