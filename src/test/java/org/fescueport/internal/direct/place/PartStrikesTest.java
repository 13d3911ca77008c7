package org.fescueport.internal.direct.place;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PartStrikesTest {
    private static final PromptPartId DEADLY = PromptPartId.of("m", "dead");
    private static final PromptPartId SOUND = PromptPartId.of("m", "sound");
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long LONG = 200 * SECOND;
    private static final PartVerdict REFUSED = new PartVerdict.Refused(DEADLY);
    private static final PartVerdict TRIAL = new PartVerdict.Allowed(true);
    private static final PartVerdict ALLOWED = new PartVerdict.Allowed(false);

    private final PartStrikes mStrikes = create();

    private static PartStrikes create() {
        return PartStrikes.create(new SplittableRandom(1));
    }

    private static PartStrike strike(PromptPartId part, int life) {
        return PartStrike.of(part.hash(), AgentIncarnation.of(NodeId.of("r"), life));
    }

    private void crash(PromptPartId part, int first, int last) {
        for (int life = first; life <= last; life++) {
            mStrikes.add(strike(part, life), 0);
        }
    }

    @Test
    void shouldAllowAPartThatOneReplicaCrashedWith() {
        crash(DEADLY, 1, 1);
        assertThat(mStrikes.admit(List.of(DEADLY), 0), is(ALLOWED));
    }

    @Test
    void shouldRefuseAPartThatTwoReplicasCrashedWithWhateverElseIsInTheRequest() {
        crash(DEADLY, 1, 2);
        assertThat(mStrikes.admit(List.of(SOUND, DEADLY), 0), is(REFUSED));
        assertThat(mStrikes.firstRefused(List.of(DEADLY), 0), is(Optional.of(DEADLY)));
        assertThat(mStrikes.admit(List.of(SOUND), 0), is(ALLOWED));
    }

    @Test
    void shouldCountOneLifeOnceHoweverManyNodesReportIt() {
        assertThat(mStrikes.add(strike(DEADLY, 1), 0), is(true));
        assertThat(mStrikes.add(strike(DEADLY, 1), 0), is(false));
        assertThat(mStrikes.crashes(DEADLY.hash()), is(1));
    }

    @Test
    void shouldClearAPartThatIsAnsweredAndKeepItCleared() {
        crash(DEADLY, 1, 2);
        assertThat(mStrikes.onAnswered(DEADLY.hash(), 0, 0), hasSize(2));
        assertThat(mStrikes.onAnswered(DEADLY.hash(), 0, 0), hasSize(0));
        crash(DEADLY, 1, 2);
        assertThat(mStrikes.admit(List.of(DEADLY), 0), is(ALLOWED));
    }

    @Test
    void shouldNotClearACrashForARequestThatWasSentBeforeIt() {
        mStrikes.add(strike(DEADLY, 1), SECOND);
        mStrikes.add(strike(DEADLY, 2), 2 * SECOND);
        assertThat(mStrikes.onAnswered(DEADLY.hash(), SECOND / 2, 3 * SECOND), hasSize(0));
        assertThat(mStrikes.admit(List.of(DEADLY), 2 * SECOND), is(REFUSED));
    }

    @Test
    void shouldKnowAPartAsSoundForAShortTime() {
        mStrikes.onAnswered(SOUND.hash(), 0, 0);
        assertThat(mStrikes.isSound(SOUND.hash(), SECOND), is(true));
        assertThat(mStrikes.isSound(SOUND.hash(), 10 * SECOND), is(false));
    }

    @Test
    void shouldLetOneRequestTryARefusedPartAfterAPause() {
        crash(DEADLY, 1, 2);
        assertThat(mStrikes.admit(List.of(DEADLY), SECOND / 2), is(REFUSED));
        assertThat(mStrikes.admit(List.of(DEADLY), 10 * SECOND), is(TRIAL));
        assertThat(mStrikes.admit(List.of(DEADLY), 10 * SECOND), is(REFUSED));
    }

    /** Counts the tries of one node to which requests with these parts come all the time. */
    private int tries(List<PromptPartId> parts, long seconds) {
        int tries = 0;
        for (long now = 0; now < seconds * SECOND; now += SECOND / 10) {
            tries += mStrikes.admit(parts, now).equals(TRIAL) ? 1 : 0;
        }
        return tries;
    }

    @Test
    void shouldHardlyTryAPartAgainAfterFourCrashes() {
        crash(DEADLY, 1, 4);
        assertThat(tries(List.of(DEADLY), 29), is(0));
        assertThat(tries(List.of(DEADLY), 600), lessThanOrEqualTo(5));
    }

    @Test
    void shouldTakeBackAWrongVerdictAfterManyCrashes() {
        crash(SOUND, 1, 8);
        assertThat(tries(List.of(SOUND), 3_600), greaterThan(0));
    }

    @Test
    void shouldPauseLongerAfterEachTryWhoseCrashIsNotCounted() {
        crash(DEADLY, 1, 2);
        assertThat(tries(List.of(DEADLY), 60), lessThanOrEqualTo(6));
    }

    @Test
    void shouldTryTwoRefusedPartsThatAlwaysComeTogether() {
        crash(DEADLY, 1, 2);
        crash(SOUND, 1, 2);
        var both = List.of(SOUND, DEADLY);
        assertThat(mStrikes.admit(both, SECOND / 2), is(REFUSED));
        assertThat(mStrikes.admit(both, LONG), is(TRIAL));
        assertThat(mStrikes.admit(both, LONG), is(REFUSED));
    }

    @Test
    void shouldRefuseAPartForItsCompanyOnlyInThatCompany() {
        crash(DEADLY, 1, 2);
        crash(SOUND, 1, 2);
        assertThat(mStrikes.admit(List.of(SOUND, DEADLY), 0), is(REFUSED));
        assertThat(mStrikes.admit(List.of(SOUND), 0), is(ALLOWED));
        assertThat(mStrikes.admit(List.of(DEADLY), 0), is(ALLOWED));
        crash(DEADLY, 3, 3);
        assertThat(mStrikes.admit(List.of(DEADLY), 0), is(REFUSED));
        assertThat(mStrikes.admit(List.of(SOUND), 0), is(ALLOWED));
    }

    @Test
    void shouldNotForgetAPartThatCrashesReplicasForAFloodOfLostAnswers() {
        crash(DEADLY, 1, 2);
        for (int i = 0; i < 5_000; i++) {
            crashInAnswer(PromptPartId.of("m", "p" + i), 3, 0);
        }
        assertThat(mStrikes.admit(List.of(DEADLY), 0), is(REFUSED));
    }

    @Test
    void shouldRefuseSeveralPartsThatCrashDifferentReplicasAtTheSameTime() {
        var other = PromptPartId.of("m", "dead2");
        for (int life = 1; life <= 3; life++) {
            crashInAnswer(DEADLY, life, life * SECOND);
            crashInAnswer(other, 10 + life, life * SECOND);
        }
        assertThat(mStrikes.admit(List.of(DEADLY), 4 * SECOND), is(REFUSED));
        var refused = new PartVerdict.Refused(other);
        assertThat(mStrikes.admit(List.of(other), 4 * SECOND), is(refused));
    }

    @Test
    void shouldWaitWhileTwoPartsExplainEquallyManyCrashes() {
        crash(DEADLY, 1, 3);
        crash(SOUND, 2, 4);
        assertThat(mStrikes.admit(List.of(DEADLY), 0), is(ALLOWED));
        assertThat(mStrikes.admit(List.of(SOUND), 0), is(ALLOWED));
        crash(DEADLY, 5, 5);
        assertThat(mStrikes.admit(List.of(DEADLY), 0), is(REFUSED));
        assertThat(mStrikes.admit(List.of(SOUND), 0), is(ALLOWED));
    }

    @Test
    void shouldNotSendATryOnceAnotherReplicaHasCrashed() {
        crash(DEADLY, 1, 2);
        assertThat(mStrikes.admit(List.of(DEADLY), LONG), is(TRIAL));
        var parts = List.of(DEADLY);
        assertThat(mStrikes.firstRefusedSince(parts, List.of(2), LONG), is(Optional.empty()));
        crash(DEADLY, 3, 3);
        assertThat(mStrikes.firstRefusedSince(parts, List.of(2), LONG), is(Optional.of(DEADLY)));
    }

    @Test
    void shouldCountCrashesBehindManyClearedOnes() {
        crash(DEADLY, 1, 40);
        mStrikes.onAnswered(DEADLY.hash(), 0, 0);
        crash(DEADLY, 41, 80);
        mStrikes.onAnswered(DEADLY.hash(), 0, 0);
        crash(DEADLY, 81, 82);
        assertThat(mStrikes.admit(List.of(DEADLY), 0), is(REFUSED));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 330})
    void shouldNotTryAtManyNodesAtOnce(int nodes) {
        int tries = 0;
        for (int node = 0; node < nodes; node++) {
            var strikes = PartStrikes.create(new SplittableRandom(node));
            strikes.onNodes(nodes);
            strikes.add(strike(DEADLY, 1), 0);
            strikes.add(strike(DEADLY, 2), 0);
            tries += strikes.admit(List.of(DEADLY), 3 * SECOND).equals(TRIAL) ? 1 : 0;
        }
        assertThat(tries, lessThanOrEqualTo(4));
    }

    @Test
    void shouldAgreeAtAllNodesWhateverTheOrderInWhichStrikesArrive() {
        crash(DEADLY, 1, 4);
        mStrikes.onAnswered(DEADLY.hash(), 0, 0);
        crash(DEADLY, 5, 6);
        for (int order = 0; order < 20; order++) {
            List<PartStrike> shuffled = new ArrayList<>(mStrikes.all(0));
            crash(DEADLY, 1, 4);
            shuffled.add(strike(DEADLY, 1));
            Collections.shuffle(shuffled, new java.util.Random(order));
            var other = create();
            shuffled.forEach(strike -> other.add(strike, 0));
            assertThat(other.crashes(DEADLY.hash()), is(2));
        }
    }

    @Test
    void shouldKeepAPartRefusedWhileRequestsWithItStillCome() {
        crash(DEADLY, 1, 5);
        for (long now = 0; now < 10 * LONG; now += LONG) {
            mStrikes.sweep(now);
            assertThat(mStrikes.firstRefused(List.of(DEADLY), now), is(Optional.of(DEADLY)));
        }
        mStrikes.sweep(20 * LONG);
        assertThat(mStrikes.isEmpty(), is(true));
    }

    @Test
    void shouldForgetPartsThatAreNotRefusedFirst() {
        crash(DEADLY, 1, 2);
        for (int i = 0; i < 1_000; i++) {
            crash(PromptPartId.of("m", "p" + i), 1, 1);
        }
        assertThat(mStrikes.admit(List.of(DEADLY), 0), is(REFUSED));
    }

    private void crashInAnswer(PromptPartId part, int life, long atNanos) {
        var replica = AgentIncarnation.of(NodeId.of("r"), life);
        mStrikes.add(PartStrike.inAnswer(part.hash(), replica, Duration.ZERO), atNanos);
    }

    @Test
    void shouldRefuseAPartThatThreeReplicasCrashedWithInsideTheirAnswers() {
        crashInAnswer(DEADLY, 1, 0);
        crashInAnswer(DEADLY, 2, SECOND);
        assertThat(mStrikes.admit(List.of(DEADLY), SECOND), is(ALLOWED));
        crashInAnswer(DEADLY, 3, 2 * SECOND);
        assertThat(mStrikes.admit(List.of(DEADLY), 2 * SECOND), is(REFUSED));
    }

    @Test
    void shouldNotRefuseAPartForManyReplicasThatAreLostAtOnce() {
        for (int life = 1; life <= 12; life++) {
            crashInAnswer(SOUND, life, life * SECOND / 40);
        }
        assertThat(mStrikes.crashes(SOUND.hash()), is(1));
        assertThat(mStrikes.admit(List.of(SOUND), SECOND), is(ALLOWED));
    }

    @Test
    void shouldCountALifeAsLostBeforeTheAnswerIfAnyNodeSaysSo() {
        crashInAnswer(DEADLY, 1, 0);
        crashInAnswer(DEADLY, 2, SECOND);
        assertThat(mStrikes.add(strike(DEADLY, 1), SECOND), is(true));
        assertThat(mStrikes.admit(List.of(DEADLY), SECOND), is(ALLOWED));
        assertThat(mStrikes.add(strike(DEADLY, 2), SECOND), is(true));
        crashInAnswer(DEADLY, 2, 2 * SECOND);
        assertThat(mStrikes.admit(List.of(DEADLY), 2 * SECOND), is(REFUSED));
    }

    @Test
    void shouldClearCrashesInsideAnswersOnceThePartIsAnswered() {
        for (int life = 1; life <= 4; life++) {
            crashInAnswer(SOUND, life, life * SECOND);
        }
        assertThat(mStrikes.onAnswered(SOUND.hash(), 5 * SECOND, 5 * SECOND), hasSize(4));
        assertThat(mStrikes.admit(List.of(SOUND), 5 * SECOND), is(ALLOWED));
    }

    @Test
    void shouldTellANodeThatStartsLaterWhenReplicasCrashedInsideAnswers() {
        for (int life = 1; life <= 3; life++) {
            crashInAnswer(DEADLY, life, life * SECOND);
        }
        var other = create();
        mStrikes.all(10 * SECOND).forEach(strike -> other.add(strike, LONG));
        assertThat(other.crashes(DEADLY.hash()), is(3));
        assertThat(other.admit(List.of(DEADLY), LONG), is(REFUSED));
    }
}
