package org.fescueport.internal.direct.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.MockClock;
import java.time.Duration;
import org.fescueport.internal.wire.generated.PeerStrike;
import org.junit.jupiter.api.Test;

class RecentStrikesTest {
    private final MockClock mClock = new MockClock();
    private final RecentStrikes mStrikes = new RecentStrikes(mClock);

    private static PeerStrike strike(int request) {
        return PeerStrike.newBuilder().setRequestLow(request).setReplica("r1").build();
    }

    @Test
    void shouldAcceptAStrikeOnceWithinTheRetentionTime() {
        assertThat(mStrikes.add(strike(1)), is(true));
        assertThat(mStrikes.add(strike(1)), is(false));
        assertThat(mStrikes.add(strike(2)), is(true));
        mClock.add(Duration.ofSeconds(3));
        assertThat(mStrikes.add(strike(1)), is(true));
    }

    @Test
    void shouldKeepTheNewestStrikesWhenThereAreMany() {
        for (int i = 0; i < 1_000; i++) {
            assertThat(mStrikes.add(strike(i)), is(true));
        }
        assertThat(mStrikes.add(strike(999)), is(false));
    }
}
