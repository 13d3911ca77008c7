package org.fescueport.internal.decision;

/** What became of an attempt or of a request. */
public enum Outcome {
    /** The whole answer was given. */
    COMPLETED,
    /** Surely not run, on evidence. */
    NOT_RUN,
    /** Ran, and failed. */
    FAILED_AFTER_RUN,
    /** Whether it ran cannot be known. */
    UNKNOWN
}
