package org.fescueport.internal.decision.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class ResponseTimesTest {
    private final ResponseTimes mTimes = ResponseTimes.create();

    private void respond(int count, int millis) {
        for (int i = 0; i < count; i++) {
            mTimes.onResponse("a", Duration.ofMillis(millis));
        }
    }

    private Optional<Duration> usual(String route) {
        return mTimes.usual(route);
    }

    @Test
    void shouldKnowNothingOfARouteWithoutResponses() {
        respond(1, 100);
        assertThat(usual("b"), is(Optional.empty()));
        assertThat(usual("a"), is(Optional.of(Duration.ofMillis(100))));
    }

    @Test
    void shouldIgnoreAFewSlowResponses() {
        respond(29, 100);
        respond(3, 9_000);
        assertThat(usual("a"), is(Optional.of(Duration.ofMillis(100))));
        respond(1, 9_000);
        assertThat(usual("a"), is(Optional.of(Duration.ofMillis(9_000))));
    }

    @Test
    void shouldForgetOldResponses() {
        respond(32, 9_000);
        respond(29, 100);
        assertThat(usual("a"), is(Optional.of(Duration.ofMillis(100))));
    }

    @Test
    void shouldDropTheRouteThatIsUsedLeastWhenThereAreTooMany() {
        respond(1, 100);
        for (int i = 0; i < 1_024; i++) {
            mTimes.onResponse("route-" + i, Duration.ofMillis(1));
        }
        assertThat(usual("a"), is(Optional.empty()));
        assertThat(usual("route-0"), is(Optional.of(Duration.ofMillis(1))));
    }
}
