package org.fescueport.internal.decision.retry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Random;
import org.fescueport.internal.decision.Outcome;
import org.fescueport.internal.decision.retry.RetryDecision.GiveUp;
import org.fescueport.internal.decision.retry.RetryDecision.Reason;
import org.fescueport.internal.decision.retry.RetryDecision.Retry;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RetryPolicyTest {
    private final RetryBudget mBudget = RetryBudget.create(0.1, 10);
    private final RetryPolicy mPolicy = RetryPolicy.create(mBudget, new Random(3));

    private static FailedAttempt failed(Outcome outcome, boolean repeatable) {
        return new FailedAttempt(1, outcome, false, repeatable, 60_000);
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"FAILED_AFTER_RUN", "UNKNOWN"})
    void shouldRetryAttemptsThatMayHaveRunOnlyIfRepeatable(Outcome outcome) {
        var giveUp = new GiveUp(Reason.NOT_REPEATABLE);
        assertThat(mPolicy.after(failed(outcome, false)), is(giveUp));
        assertThat(mPolicy.after(failed(outcome, true)), instanceOf(Retry.class));
    }

    @Test
    void shouldRetryABusyRefusalAtOnceWithoutUsingTheBudget() {
        while (mBudget.tryAcquire()) {
            assertThat(mPolicy.after(busy(4)), is(new Retry(0)));
        }
        assertThat(mPolicy.after(busy(4)), is(new Retry(0)));
        assertThat(mPolicy.after(busy(7)), is(new Retry(0)));
        assertThat(mPolicy.after(busy(8)), is(new GiveUp(Reason.ATTEMPTS)));
        assertThat(mPolicy.after(failed(Outcome.NOT_RUN, true)), is(new GiveUp(Reason.BUDGET)));
    }

    private static FailedAttempt busy(int number) {
        return new FailedAttempt(number, Outcome.NOT_RUN, true, false, 60_000);
    }

    @Test
    void shouldLimitRetriesToAShareOfRequests() {
        int retries = 0;
        for (int i = 0; i < 10_000; i++) {
            mBudget.onRequest();
            retries += mPolicy.after(failed(Outcome.NOT_RUN, false)) instanceof Retry ? 1 : 0;
        }
        assertThat(retries, lessThanOrEqualTo(1_010));
    }

    @Test
    void shouldGiveUpWhenNoTimeIsLeftForAnotherAttempt() {
        var attempt = new FailedAttempt(5, Outcome.NOT_RUN, false, true, 1);
        assertThat(mPolicy.after(attempt), is(new GiveUp(Reason.DEADLINE)));
    }

    @Test
    void shouldHedgeOnlyRepeatableRequestsWithinTheBudget() {
        assertThat(mPolicy.mayHedge(false), is(false));
        for (int i = 0; i < 10; i++) {
            assertThat(mPolicy.mayHedge(true), is(true));
        }
        assertThat(mPolicy.mayHedge(true), is(false));
    }
}
