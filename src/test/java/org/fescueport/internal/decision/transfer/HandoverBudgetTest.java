package org.fescueport.internal.decision.transfer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class HandoverBudgetTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final HandoverBudget mBudget =
            HandoverBudget.start(new HandoverBudget.Limits(1_000, 5_000, 10), 0);

    @Test
    void shouldDelayToKeepTheRate() {
        mBudget.onSent(2_000);
        assertThat(mBudget.delayNanos(SECOND / 2), is(SECOND * 3 / 2));
        assertThat(mBudget.delayNanos(3 * SECOND), is(0L));
    }

    @Test
    void shouldBeExhaustedByBytesOrTime() {
        assertThat(mBudget.isExhausted(9 * SECOND), is(false));
        assertThat(mBudget.isExhausted(10 * SECOND), is(true));
        mBudget.onSent(5_000);
        assertThat(mBudget.isExhausted(SECOND), is(true));
    }
}
