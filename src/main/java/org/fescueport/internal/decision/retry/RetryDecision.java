package org.fescueport.internal.decision.retry;

/** What to do after an attempt that gave no answer. */
public sealed interface RetryDecision {
    /** Why a request is not tried again. */
    enum Reason {
        /** It may have run, and may not be repeated. */
        NOT_REPEATABLE,
        /** There is no time for another attempt. */
        DEADLINE,
        /** It was tried often enough. */
        ATTEMPTS,
        /** This router has retried its share of requests. */
        BUDGET
    }

    /** Try the next rank after this time; 0 for at once. */
    record Retry(long delayMillis) implements RetryDecision {}

    /** Give the final answer now. */
    record GiveUp(Reason reason) implements RetryDecision {}
}
