package org.fescueport.internal.decision.retry;

import java.util.random.RandomGenerator;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.Outcome;
import org.fescueport.internal.decision.retry.RetryDecision.Reason;

/**
 * Decides whether a request is retried, and when.
 *
 * <p>A request that may have run is retried only if it is repeatable. If a busy replica refuses a
 * request, it goes to the next replica in the ranking at once, until the placement reports that all
 * replicas are busy. Any other retry takes a token of the budget and is delayed by a random backoff
 * that grows with the number of attempts.
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

    /** Returns a policy that draws its backoff delays from {@code random}. */
    public static RetryPolicy create(RetryBudget budget, RandomGenerator random) {
        return new RetryPolicy(budget, random);
    }

    /** Decides what to do after a failed attempt. */
    public RetryDecision after(FailedAttempt attempt) {
        Invariants.check(
                attempt.outcome() != Outcome.COMPLETED,
                "retry of an attempt with a complete answer");
        if (attempt.outcome() != Outcome.NOT_RUN && !attempt.repeatable()) {
            return new RetryDecision.GiveUp(Reason.NOT_REPEATABLE);
        }
        if (attempt.number() >= MAX_ATTEMPTS) {
            return new RetryDecision.GiveUp(Reason.ATTEMPTS);
        }
        boolean isBusy = attempt.busy();
        long delay = isBusy ? 0 : delayMillis(attempt.number());
        if (delay >= attempt.remainingMillis()) {
            return new RetryDecision.GiveUp(Reason.DEADLINE);
        }
        if (!isBusy && !mBudget.tryAcquire()) {
            return new RetryDecision.GiveUp(Reason.BUDGET);
        }
        return new RetryDecision.Retry(delay);
    }

    /**
     * Returns whether a second attempt may run in parallel with a slow first one. If so, a token is
     * taken from the budget.
     */
    public boolean mayHedge(boolean repeatable) {
        return repeatable && mBudget.tryAcquire();
    }

    private long delayMillis(int number) {
        long maxMillis = Math.min(MAX_DELAY_MILLIS, BASE_DELAY_MILLIS << Math.min(number, 10));
        return mRandom.nextLong(1, maxMillis + 1);
    }
}
