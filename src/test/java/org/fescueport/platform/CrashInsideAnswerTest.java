package org.fescueport.platform;

import static org.fescueport.platform.MortalFleet.DEADLY;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.fescueport.platform.MortalFleet.Place;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a prompt part that crashes replicas again and again inside their answers. */
class CrashInsideAnswerTest {
    private static final int CRASHES_TO_LEARN = 3;
    private static final int MAX_LATE_ARRIVALS = 3;
    private static final int DEADLY_REQUESTS = 20;
    private static final int PAUSE_MS = 400;
    private static final int CALLERS = 6;

    @ParameterizedTest
    @CsvSource({
        "stream, FIRST_EVENT, 1",
        "once, FIRST_EVENT, 2",
        "stream, INSIDE_EVENT, 2",
        "once, FIFTH_EVENT, 1",
        "stream, FIFTH_EVENT, 2",
        "once, OPEN_END, 1"
    })
    void shouldRefuseAPartWithWhichReplicasCrashInsideTheirAnswersAndNoSoundRequest(
            String route, Place place, int nodes) throws Exception {
        try (var fleet = MortalFleet.start(place, nodes)) {
            for (int i = 0; i < CALLERS; i++) {
                fleet.startSoundCaller(
                        i, i % 3 == 0 ? "once" : "stream", "aa:500,bb0" + i + ":400,%n");
            }
            fleet.awaitSoundAnswers();
            for (int i = 0; i < DEADLY_REQUESTS; i++) {
                fleet.ask(i, route, "aa:500," + DEADLY + ":400,%n");
                Await.pause(PAUSE_MS);
            }
            fleet.stopCallers();
            assertThat(fleet.crashes(), greaterThan(0));
            assertThat(
                    fleet.lateArrivals(CRASHES_TO_LEARN),
                    lessThanOrEqualTo((long) MAX_LATE_ARRIVALS));
            assertThat(fleet.soundRefused(), is(0));
        }
    }
}
