package org.fescueport.internal.decision.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.Optional;
import org.fescueport.internal.decision.admission.ShutdownAdmission.Decision;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ShutdownAdmissionTest {
    private static final LoadBalancerTimes BALANCER =
            new LoadBalancerTimes(Duration.ofSeconds(2), Duration.ofSeconds(1));
    private static final Optional<Duration> UNKNOWN = Optional.empty();

    private static ShutdownSchedule schedule(long killMs) {
        return ShutdownSchedule.of(nanos(1_000), BALANCER, Duration.ofMillis(killMs));
    }

    /** Returns the decision at a time since the beginning of the shutdown. */
    private static Decision decide(
            long killMs, long sinceMs, long timeoutMs, Optional<Duration> usual) {
        long now = schedule(killMs).startNanos() + nanos(sinceMs);
        var timeout = Duration.ofMillis(timeoutMs);
        return ShutdownAdmission.of(schedule(killMs)).decide(timeout, usual, now);
    }

    private static long nanos(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    @ParameterizedTest
    @CsvSource({
        "8000, 0, 15000, PROBABLE",
        "8000, 1999, 15000, PROBABLE",
        "8000, 2000, 15000, REFUSED",
        "8000, 3041, 14338, REFUSED",
        "8000, 7000, 15000, REFUSED",
        "8000, 3041, 3000, CERTAIN",
        "8000, 5600, 1500, CERTAIN",
        "8000, 5800, 1500, REFUSED",
        "4000, 1999, 15000, PROBABLE",
        "4000, 2000, 1500, CERTAIN",
        "4000, 2100, 1500, REFUSED"
    })
    void shouldNotAcceptARequestThatTheEndMayCutOnceTheLoadBalancerKnows(
            long killMs, long sinceMs, long timeoutMs, Decision decision) {
        assertThat(decide(killMs, sinceMs, timeoutMs, UNKNOWN), is(decision));
    }

    @ParameterizedTest
    @CsvSource({
        "0, 7000, PROBABLE",
        "0, 7200, REFUSED",
        "1500, 5600, PROBABLE",
        "1500, 5700, REFUSED",
        "2500, 100, REFUSED"
    })
    void shouldRefuseAtOnceWhatUsuallyTakesLongerThanIsLeft(
            long sinceMs, long usualMs, Decision decision) {
        var usual = Optional.of(Duration.ofMillis(usualMs));
        assertThat(decide(8_000, sinceMs, 15_000, usual), is(decision));
    }

    @ParameterizedTest
    @ValueSource(longs = {1_000, 2_000, 3_000, 4_000, 8_000, 30_000})
    void shouldCutNothingBeforeTheLastSixthAndEndBeforeItIsKilled(long killMs) {
        var schedule = schedule(killMs);
        long end = schedule.endNanos() - schedule.startNanos();
        assertThat(end, is(greaterThanOrEqualTo(nanos(killMs) * 5 / 6)));
        assertThat(end, is(lessThan(nanos(killMs))));
        assertThat(schedule.idleEndNanos(), is(lessThanOrEqualTo(schedule.endNanos())));
        assertThat(schedule.noticedNanos(), is(lessThanOrEqualTo(schedule.idleEndNanos())));
    }
}
