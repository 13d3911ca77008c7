package org.fescueport.internal.decision;

/** Outcome of an attempt or of a request. */
public enum Outcome {
    /** The complete answer was delivered. */
    COMPLETED,
    /** It is proven that it did not run. */
    NOT_RUN,
    /** It ran and failed. */
    FAILED_AFTER_RUN,
    /** It cannot be determined whether it ran. */
    UNKNOWN
}
