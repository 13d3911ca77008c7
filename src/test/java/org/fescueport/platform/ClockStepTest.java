package org.fescueport.platform;

import static org.fescueport.platform.Installation.get;
import static org.fescueport.platform.Installation.post;
import static org.fescueport.platform.Scripts.GOOD;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.Clock;
import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The machine's time of day is set forwards or back while the router runs. */
class ClockStepTest {
    /** Goes as the system's, but for the time of day. */
    private static final class SteppedClock implements Clock {
        private volatile long mStepMillis;

        @Override
        public long wallTime() {
            return Clock.SYSTEM.wallTime() + mStepMillis;
        }

        @Override
        public long monotonicTime() {
            return Clock.SYSTEM.monotonicTime();
        }
    }

    private final SteppedClock mClock = new SteppedClock();

    @ParameterizedTest
    @ValueSource(longs = {-86_400, -30, 30, 86_400})
    void shouldServeOnAndReadAnewWhatMayHaveChanged(long stepSeconds) throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD);
                var router = TestRouter.start("edge-2", fleet.store().address(), mClock);
                var caller = RawCaller.connect(router.awaitReady().callers())) {
            caller.send(get("/safe/x"));
            assertThat(caller.receive().status(), is(200));
            mClock.mStepMillis = Duration.ofSeconds(stepSeconds).toMillis();
            caller.send(post("/unsafe/x", "hello"));
            assertThat(caller.receive().status(), is(200));
            int before = fleet.store().calls().size();
            Await.until("the gap is noticed", () -> router.lines().contains("clock-gap"));
            Await.until("it is read anew", () -> fleet.store().calls().size() > before);
            assertThat(router.isReady(), is(true));
            caller.send(get("/safe/y"));
            assertThat(caller.receive().status(), is(200));
            fleet.store().configure(Installation.configuration(9).replace("/safe/", "/new/"));
            Await.until(
                    "the change is in force",
                    () -> RawCaller.statusOf(router.callers(), get("/new/x")) == 200);
        }
    }
}
