package org.fescueport.platform;

import static org.fescueport.platform.MortalFleet.DEADLY;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.fescueport.platform.MortalFleet.Place;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a session that crashes replicas again and again with its own prompt part. */
class CrashingSessionTest {
    private static final int CRASHES_TO_LEARN = 3;
    private static final long MAX_LATE_ARRIVALS = 3;
    private static final int DEADLY_REQUESTS = 20;
    private static final int PAUSE_MS = 400;
    private static final int SOUND_SESSIONS = 6;

    /** The parts of the deadly session's prompts. */
    private enum Prompt {
        /** Sound sessions share all parts but the last. */
        LAST("aa:500,bb:400," + DEADLY + ":50"),
        /** The part before the last is in no other prompt. */
        LAST_BEHIND_RARE("aa:500,cc:400," + DEADLY + ":50"),
        ONLY(DEADLY + ":950");

        private final String mParts;

        Prompt(String parts) {
            mParts = parts;
        }
    }

    @ParameterizedTest
    @CsvSource({
        "once, LAST, BEFORE_ANSWER, 1",
        "stream, LAST, BEFORE_ANSWER, 2",
        "once, LAST, INSIDE_EVENT, 2",
        "stream, LAST, FIRST_EVENT, 1",
        "once, LAST_BEHIND_RARE, BEFORE_ANSWER, 2",
        "stream, LAST_BEHIND_RARE, FIFTH_EVENT, 1",
        "once, ONLY, BEFORE_ANSWER, 2",
        "stream, ONLY, INSIDE_EVENT, 1"
    })
    void shouldRefuseASessionWhoseOwnPartCrashesReplicasAndNoSoundSession(
            String route, Prompt prompt, Place place, int nodes) throws Exception {
        try (var fleet = MortalFleet.start(place, nodes)) {
            for (int i = 0; i < SOUND_SESSIONS; i++) {
                String parts = "aa:500,bb:400,ee0%d:50".formatted(i);
                fleet.startSoundCaller(i, i % 3 == 0 ? "once" : "stream", parts);
            }
            fleet.awaitSoundAnswers();
            for (int i = 0; i < DEADLY_REQUESTS; i++) {
                fleet.ask(i, route, prompt.mParts);
                Await.pause(PAUSE_MS);
            }
            var other = fleet.ask(0, route, "aa:500,cc:400,ee99:50");
            fleet.stopCallers();
            assertThat(fleet.crashes(), greaterThan(0));
            assertThat(fleet.lateArrivals(CRASHES_TO_LEARN), lessThanOrEqualTo(MAX_LATE_ARRIVALS));
            assertThat(fleet.soundRefused(), is(0));
            assertThat(other.status(), is(200));
        }
    }
}
