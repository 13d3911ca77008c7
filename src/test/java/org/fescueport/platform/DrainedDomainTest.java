package org.fescueport.platform;

import static org.fescueport.platform.Installation.get;
import static org.fescueport.platform.Scripts.GOOD;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.notNullValue;

import java.io.IOException;
import org.fescueport.platform.StoreStandIn.Mode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The operator empties a failure domain; all replicas of the installation stand in one. */
class DrainedDomainTest {
    private static final String KEY = "evacuate/north";
    private static final long BOUND_MS = 2_000;

    private static int status(TestRouter router) {
        try {
            return RawCaller.ask(router.callers(), get("/safe/x")).status();
        } catch (IOException e) {
            return 0;
        }
    }

    private static void drain(Installation fleet) {
        fleet.store().put("keyed.op", KEY, "{}");
    }

    @Test
    void shouldRefuseAtOnceWithATimeWhenAllReplicasStandInADrainedDomain() throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD)) {
            drain(fleet);
            long begun = System.nanoTime();
            Await.until("nothing is sent there", () -> status(fleet.router()) == 503);
            assertThat((System.nanoTime() - begun) / 1_000_000, lessThan(BOUND_MS));
            int before = fleet.arrivals("api");
            var refused = fleet.ask(get("/safe/x"));
            assertThat(refused.status(), is(503));
            assertThat(refused.header("Retry-After"), notNullValue());
            assertThat(fleet.arrivals("api"), is(before));
            fleet.store().remove("keyed.op", KEY);
            Await.until("it is used again", () -> status(fleet.router()) == 200);
        }
    }

    @Test
    void shouldNotMindAnUnknownDomain() throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD)) {
            fleet.store().put("keyed.op", "evacuate/nowhere", "{}");
            fleet.store().put("keyed.op", "evacuate/", "nonsense");
            Await.pause(300);
            assertThat(status(fleet.router()), is(200));
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Mode.class,
            names = {"BUSY", "SILENT"})
    void shouldHoldWhileTheStoreIsAway(Mode mode) throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD)) {
            drain(fleet);
            Await.until("nothing is sent there", () -> status(fleet.router()) == 503);
            fleet.store().mode(mode);
            int before = fleet.arrivals("api");
            for (int i = 0; i < 30; i++) {
                assertThat(status(fleet.router()), is(503));
                Await.pause(100);
            }
            assertThat(fleet.arrivals("api"), is(before));
        }
    }

    @Test
    void shouldReachANodeThatIsTurnedAwayByTheStore() throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD);
                var away = StoreStandIn.start()) {
            try (var second = fleet.startTurnedAway(away)) {
                assertThat(status(second), is(200));
                drain(fleet);
                long begun = System.nanoTime();
                Await.until("it holds there too", () -> status(second) == 503);
                assertThat((System.nanoTime() - begun) / 1_000_000, lessThan(BOUND_MS));
            }
        }
    }

    @Test
    void shouldSendNothingThereFromANodeThatHasJustStarted() throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD)) {
            drain(fleet);
            Await.until("nothing is sent there", () -> status(fleet.router()) == 503);
            int before = fleet.arrivals("api");
            try (var second = TestRouter.start("edge-2", fleet.store().address()).awaitReady()) {
                for (int i = 0; i < 20; i++) {
                    assertThat(status(second), is(503));
                }
            }
            assertThat(fleet.arrivals("api"), is(before));
        }
    }
}
