package org.fescueport.internal.decision.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.MockClock;
import java.time.Duration;
import org.junit.jupiter.api.Test;

class PatienceBookTest {
    private final MockClock mClock = new MockClock();
    private final PatienceBook<String> mBook = new PatienceBook<>();

    private long waited(String kind, long patienceMillis) {
        return mBook.waitedBefore(kind, patienceMillis, mClock.monotonicTime()).toMillis();
    }

    @Test
    void shouldTakeTheLongestPatienceForThatOfAFirstTry() {
        assertThat(waited("note", 12_000), is(0L));
        assertThat(waited("note", 9_500), is(2_500L));
        assertThat(waited("tag", 3_000), is(0L));
    }

    @Test
    void shouldForgetAPatienceThatNobodyHasShownForLong() {
        waited("note", 12_000);
        mClock.add(Duration.ofSeconds(11));
        assertThat(waited("note", 5_000), is(7_000L));
        mClock.add(Duration.ofSeconds(11));
        assertThat(waited("note", 5_000), is(0L));
    }
}
