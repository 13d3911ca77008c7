package org.fescueport.internal.decision.retry;

import java.util.random.RandomGenerator;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.Outcome;
import org.fescueport.internal.decision.retry.RetryDecision.Reason;

/**
 * Decides whether a request is tried again, and when.
 *
 * <p>What may have run is tried again only if it is repeatable. A busy replica's refusal passes the
 * request on to the next rank at once, until the placement tells that all are busy; any other
 * attempt costs a token of the budget and waits a random time that grows with the attempts.
 *
 * <pre>{@code
 * switch (policy.after(attempt)) {
 *     case RetryDecision.Retry retry -> schedule(nextAttempt, retry.delayMillis());
 *     case RetryDecision.GiveUp giveUp -> answer(giveUp.reason());
 * }
 * }</pre>
 */
public final class RetryPolicy {
    private static final int MAX_ATTEMPTS = 8;

    private static final long BASE_DELAY_MILLIS = 20;
    private static final long MAX_DELAY_MILLIS = 1_000;

    private final RetryBudget mBudget;
    private final RandomGenerator mRandom;

    private RetryPolicy(RetryBudget budget, RandomGenerator random) {
        mBudget = budget;
        mRandom = random;
    }

    /** Returns a policy that draws its delays from {@code random}. */
    public static RetryPolicy create(RetryBudget budget, RandomGenerator random) {
        return new RetryPolicy(budget, random);
    }

    /** Decides after an attempt that gave no answer. */
    public RetryDecision after(FailedAttempt attempt) {
        Invariants.check(attempt.outcome() != Outcome.COMPLETED, "retry of a complete answer");
        if (attempt.outcome() != Outcome.NOT_RUN && !attempt.repeatable()) {
            return new RetryDecision.GiveUp(Reason.NOT_REPEATABLE);
        }
        if (attempt.number() >= MAX_ATTEMPTS) {
            return new RetryDecision.GiveUp(Reason.ATTEMPTS);
        }
        boolean busy = attempt.busy();
        long delayMillis = busy ? 0 : backoffMillis(attempt.number());
        if (delayMillis >= attempt.remainingMillis()) {
            return new RetryDecision.GiveUp(Reason.DEADLINE);
        }
        if (!busy && !mBudget.tryAcquire()) {
            return new RetryDecision.GiveUp(Reason.BUDGET);
        }
        return new RetryDecision.Retry(delayMillis);
    }

    /** Returns whether a second attempt may run beside a slow first one; takes from the budget. */
    public boolean mayHedge(boolean repeatable) {
        return repeatable && mBudget.tryAcquire();
    }

    private long backoffMillis(int attemptNumber) {
        long maxMillis =
                Math.min(MAX_DELAY_MILLIS, BASE_DELAY_MILLIS << Math.min(attemptNumber, 10));
        return mRandom.nextLong(1, maxMillis + 1);
    }
}
