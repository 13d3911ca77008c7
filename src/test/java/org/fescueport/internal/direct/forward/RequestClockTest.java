package org.fescueport.internal.direct.forward;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.MockClock;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.admission.PoolOffer;
import org.fescueport.internal.direct.config.RequestKind;
import org.fescueport.internal.direct.config.Route;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RequestClockTest {
    private static final Duration OBJECTIVE = Duration.ofMillis(400);
    private static final Duration TIMEOUT = Duration.ofSeconds(12);

    private final MockClock mClock = new MockClock();

    private static Route route() {
        return new Route(
                "faults",
                "h.example",
                "/faults/",
                RequestKind.STREAM_ONCE,
                List.of(new Route.Target(PoolId.of("llm"), 1)),
                TIMEOUT,
                OBJECTIVE,
                0,
                1,
                false);
    }

    private PoolOffer offer(OptionalLong timeoutMillis) {
        var id = AttemptId.of(RequestId.of(0, 1), 1);
        return RequestClock.start(mClock, route(), timeoutMillis).offer(id, TeamId.of("a"), 0);
    }

    /**
     * Callers of the same kind have different timeouts; none of their requests is late on arrival.
     */
    @ParameterizedTest
    @ValueSource(longs = {10_400, 12_000, 15_000})
    void shouldMeasureTheObjectiveFromArrivalWhateverTheCallersTimeout(long timeoutMillis) {
        offer(OptionalLong.of(15_000));
        var offer = offer(OptionalLong.of(timeoutMillis));
        assertThat(
                offer.objectiveDeadlineNanos() - mClock.monotonicTime(), is(OBJECTIVE.toNanos()));
    }

    @Test
    void shouldExpireAtTheEarlierOfCallerAndRouteTimeout() {
        var longTimeout = offer(OptionalLong.of(20_000));
        var shortTimeout = offer(OptionalLong.of(3_000));
        assertThat(longTimeout.deadlineNanos() - mClock.monotonicTime(), is(TIMEOUT.toNanos()));
        long least = Duration.ofSeconds(3).toNanos();
        assertThat(shortTimeout.deadlineNanos() - mClock.monotonicTime(), is(least));
    }
}
