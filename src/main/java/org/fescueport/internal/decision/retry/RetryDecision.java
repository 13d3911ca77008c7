package org.fescueport.internal.decision.retry;

/** What to do after an attempt that was not completed. */
public sealed interface RetryDecision {
    /** Why a request is not retried. */
    enum Reason {
        /** The request may have run, and must not be repeated. */
        NOT_REPEATABLE,
        /** Not enough time is left for another attempt. */
        DEADLINE,
        /** The maximum number of attempts is reached. */
        ATTEMPTS,
        /** The retry budget of this router is spent. */
        BUDGET
    }

    /** Try the next replica in the ranking after this delay; 0 means at once. */
    record Retry(long delayMillis) implements RetryDecision {}

    /** Answer the caller with the failure now. */
    record GiveUp(Reason reason) implements RetryDecision {}
}
