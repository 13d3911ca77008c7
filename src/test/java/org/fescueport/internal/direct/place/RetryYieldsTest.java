package org.fescueport.internal.direct.place;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryYieldsTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final RetryYields mYields = RetryYields.create();

    private int allowedOf100(String kind, long nowNanos) {
        int allowed = 0;
        for (int i = 0; i < 100; i++) {
            allowed += mYields.isWorthwhile(kind, nowNanos) ? 1 : 0;
        }
        return allowed;
    }

    @ParameterizedTest
    @CsvSource({"0, 10", "10, 10", "50, 100", "100, 100"})
    void shouldWithholdMostSecondTriesThatDoNotSucceed(int successPercent, int allowed) {
        for (int i = 0; i < 100; i++) {
            mYields.onEnded("a", i < successPercent, 0);
        }
        assertThat(allowedOf100("a", 0), is(allowed));
        assertThat(allowedOf100("b", 0), is(100));
    }

    @Test
    void shouldForgetOldOutcomes() {
        for (int i = 0; i < 100; i++) {
            mYields.onEnded("a", false, 0);
        }
        assertThat(allowedOf100("a", 60 * SECOND), is(100));
    }
}
