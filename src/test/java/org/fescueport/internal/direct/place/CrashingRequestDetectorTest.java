package org.fescueport.internal.direct.place;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.claim.ContentHash;
import org.fescueport.internal.decision.poison.Fingerprint;
import org.fescueport.internal.direct.place.CrashingRequestDetector.Loss;
import org.fescueport.internal.direct.place.CrashingRequestDetector.Outcome;
import org.fescueport.internal.direct.place.CrashingRequestDetector.Progress;
import org.fescueport.internal.direct.state.ReplicaEntry;
import org.fescueport.internal.direct.state.WarmUpTime;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class CrashingRequestDetectorTest {
    private static final Fingerprint REQUEST =
            Fingerprint.of(TeamId.of("team"), ContentHash.of(1, 2));
    private static final PromptPartId PART = PromptPartId.of("m", "part");
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final CrashingRequestDetector mDetector =
            CrashingRequestDetector.create(new SplittableRandom(1));
    private final List<String> mStrikes = new ArrayList<>();
    private final List<PartStrike> mPartStrikes = new ArrayList<>();
    private final List<Outcome> mOutcomes = new ArrayList<>();

    CrashingRequestDetectorTest() {
        mDetector.listen(
                new CrashingRequestDetector.Listener() {
                    @Override
                    public void onStrike(Fingerprint request, AgentIncarnation replica) {
                        mStrikes.add(replica.node().name());
                    }

                    @Override
                    public void onCleared(Fingerprint request) {
                        mStrikes.add("cleared");
                    }

                    @Override
                    public void onPartStrike(
                            PartStrike strike, Optional<PromptPartId> part, int crashes) {
                        mPartStrikes.add(strike);
                    }

                    @Override
                    public void onSuspicionEnded(Loss loss, ReplicaEntry by, Outcome outcome) {
                        mOutcomes.add(outcome);
                    }
                });
    }

    private static ReplicaEntry replica(String id) {
        return new ReplicaEntry(
                NodeId.of(id),
                PoolId.of("llm"),
                new InetSocketAddress(80),
                FailureDomain.of("north"),
                8,
                false,
                1,
                0,
                WarmUpTime.warm());
    }

    private void crashWith(String id, long atNanos) {
        mDetector.onResponseLost(REQUEST, List.of(), replica(id), atNanos);
        mDetector.onUnreachable(replica(id), atNanos + SECOND);
    }

    @Test
    void shouldRefuseARequestThatCrashedTwoReplicas() {
        crashWith("a", 0);
        assertThat(mDetector.isPoison(REQUEST, 2 * SECOND), is(false));
        crashWith("b", 2 * SECOND);
        assertThat(mDetector.isPoison(REQUEST, 4 * SECOND), is(true));
        assertThat(mStrikes, is(List.of("a", "b")));
    }

    @Test
    void shouldClearARequestThatSucceedsAfterCrashes() {
        crashWith("a", 0);
        crashWith("b", 0);
        mDetector.onSucceeded(REQUEST);
        mDetector.onSucceeded(REQUEST);
        assertThat(mDetector.isPoison(REQUEST, 4 * SECOND), is(false));
        assertThat(mStrikes, is(List.of("a", "b", "cleared")));
    }

    @Test
    void shouldIgnoreALostResponseWhileTheReplicaLives() {
        for (String id : List.of("a", "b", "c")) {
            mDetector.onResponseLost(REQUEST, List.of(), replica(id), 0);
            mDetector.onReplicaAlive(replica(id), SECOND);
            mDetector.onUnreachable(replica(id), 2 * SECOND);
        }
        assertThat(mDetector.isPoison(REQUEST, 3 * SECOND), is(false));
    }

    @Test
    void shouldNotTreatAResponseToAnEarlierRequestAsASignOfLife() {
        mDetector.onResponseLost(REQUEST, List.of(), replica("a"), SECOND);
        mDetector.onReplicaAlive(replica("a"), SECOND / 2);
        mDetector.onUnreachable(replica("a"), 2 * SECOND);
        assertThat(mStrikes, is(List.of("a")));
    }

    @Test
    void shouldNotBlameARequestForALaterCrash() {
        mDetector.onResponseLost(REQUEST, List.of(), replica("a"), 0);
        mDetector.onUnreachable(replica("a"), 10 * SECOND);
        assertThat(mStrikes, is(List.of()));
    }

    @Test
    void shouldCountStrikesFromOtherNodes() {
        var other = CrashingRequestDetector.create(new SplittableRandom(1));
        other.listen((request, replica) -> mDetector.onStrike(request, replica, 0));
        for (String id : List.of("a", "b")) {
            other.onResponseLost(REQUEST, List.of(), replica(id), 0);
            other.onUnreachable(replica(id), SECOND);
        }
        assertThat(mDetector.isPoison(REQUEST, SECOND), is(true));
    }

    @Test
    void shouldForgetStrikesAfterAMinute() {
        crashWith("a", 0);
        crashWith("b", 0);
        mDetector.sweep(70 * SECOND);
        assertThat(mDetector.isPoison(REQUEST, 70 * SECOND), is(false));
    }

    private void crashWithParts(String id, PromptPartId... parts) {
        mDetector.onResponseLost(REQUEST, List.of(parts), replica(id), 0);
        mDetector.onUnreachable(replica(id), SECOND);
    }

    @Test
    void shouldRefuseAPartOfRequestsThatCrashedTwoReplicas() {
        crashWithParts("a", PART);
        assertThat(mDetector.refusedPart(List.of(PART), SECOND), is(Optional.empty()));
        crashWithParts("b", PART);
        assertThat(mDetector.refusedPart(List.of(PART), SECOND), is(Optional.of(PART)));
    }

    @Test
    void shouldNotSuspectAPartThatWasJustAnswered() {
        mDetector.onPartsAnswered(List.of(PART), 0, 0);
        crashWithParts("a", PART);
        crashWithParts("b", PART);
        assertThat(mDetector.refusedPart(List.of(PART), SECOND), is(Optional.empty()));
    }

    @Test
    void shouldClearForAllNodesAStrikeAgainstAPartThatWasJustAnsweredHere() {
        mDetector.onPartsAnswered(List.of(PART), 0, 0);
        var strike = PartStrike.of(PART.hash(), replica("a").life());
        assertThat(mDetector.onPartStrike(strike, SECOND), is(true));
        assertThat(mPartStrikes, is(List.of(strike.asCleared())));
    }

    @Test
    void shouldTellANewNodeAllStrikesAgainstParts() {
        crashWithParts("a", PART);
        crashWithParts("b", PART);
        var other = CrashingRequestDetector.create(new SplittableRandom(1));
        mDetector.partStrikes(SECOND).forEach(strike -> other.onPartStrike(strike, SECOND));
        assertThat(other.refusedPart(List.of(PART), SECOND), is(Optional.of(PART)));
    }

    @Test
    void shouldTakeBackAWrongVerdictForAllNodesOnceATryIsAnswered() {
        crashWithParts("a", PART);
        crashWithParts("b", PART);
        long later = 60 * SECOND;
        assertThat(mDetector.admitParts(List.of(PART), SECOND), is(new PartVerdict.Refused(PART)));
        assertThat(mDetector.admitParts(List.of(PART), later), is(new PartVerdict.Allowed(true)));
        mPartStrikes.clear();
        mDetector.onPartsAnswered(List.of(PART), later, later);
        assertThat(mDetector.admitParts(List.of(PART), later), is(new PartVerdict.Allowed(false)));
        assertThat(mPartStrikes.stream().filter(PartStrike::cleared).count(), is(2L));
    }

    private void loseInAnswer(String id, Progress progress, long atNanos) {
        var loss =
                new Loss(
                        REQUEST, List.of(PART), List.of(PART), Optional.empty(), progress, atNanos);
        mDetector.onLoss(loss, replica(id), atNanos);
    }

    @ParameterizedTest
    @EnumSource(
            value = Progress.class,
            names = {"PART", "WHOLE_UNLESS_CRASHED"})
    void shouldRefuseAPartWithWhichReplicasCrashInsideTheirAnswers(Progress progress) {
        for (int i = 0; i < 3; i++) {
            assertThat(mDetector.refusedPart(List.of(PART), i * SECOND), is(Optional.empty()));
            loseInAnswer("r" + i, progress, i * SECOND);
            mDetector.onUnreachable(replica("r" + i), i * SECOND + SECOND / 20);
        }
        assertThat(mDetector.refusedPart(List.of(PART), 3 * SECOND), is(Optional.of(PART)));
    }

    @Test
    void shouldNotTakeAnAnswerThatEndsInACrashForASuccess() {
        crashWithParts("a", PART);
        crashWithParts("b", PART);
        loseInAnswer("c", Progress.WHOLE_UNLESS_CRASHED, SECOND);
        mDetector.onUnreachable(replica("c"), SECOND + SECOND / 20);
        assertThat(mDetector.refusedPart(List.of(PART), 2 * SECOND), is(Optional.of(PART)));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void shouldTakeAnAnswerThatEndsWithItsConnectionForASuccessIfTheReplicaLives(boolean probed) {
        crashWithParts("a", PART);
        crashWithParts("b", PART);
        loseInAnswer("c", Progress.WHOLE_UNLESS_CRASHED, SECOND);
        assertThat(mDetector.refusedPart(List.of(PART), SECOND), is(Optional.of(PART)));
        if (probed) {
            mDetector.onReachable(replica("c"), 2 * SECOND);
        } else {
            mDetector.onReplicaAlive(replica("c"), 2 * SECOND);
        }
        assertThat(mDetector.refusedPart(List.of(PART), 2 * SECOND), is(Optional.empty()));
    }

    @Test
    void shouldNotBlameAPartForTheNodesOwnLinks() {
        for (int i = 0; i < 8; i++) {
            loseInAnswer("r" + i, Progress.PART, i * SECOND);
            mDetector.onSilent(replica("r" + i), i * SECOND + SECOND / 2);
        }
        assertThat(mDetector.refusedPart(List.of(PART), 9 * SECOND), is(Optional.empty()));
        assertThat(mPartStrikes, is(List.of()));
    }

    @Test
    void shouldNotBlameAPartForBrokenConnectionsOfALivingReplica() {
        for (int i = 0; i < 8; i++) {
            loseInAnswer("r" + i, Progress.PART, i * SECOND);
            mDetector.onReplicaAlive(replica("r" + i), i * SECOND + SECOND / 20);
            mDetector.onUnreachable(replica("r" + i), i * SECOND + SECOND / 10);
        }
        assertThat(mDetector.refusedPart(List.of(PART), 9 * SECOND), is(Optional.empty()));
    }

    @Test
    void shouldTellWhatBecameOfEachSuspicion() {
        for (String id : List.of("crashed", "alive", "unknown")) {
            mDetector.onResponseLost(REQUEST, List.of(PART), replica(id), 0);
        }
        mDetector.onUnreachable(replica("crashed"), SECOND);
        mDetector.onReplicaAlive(replica("alive"), SECOND);
        mDetector.sweep(4 * SECOND);
        var all = List.of(Outcome.CONFIRMED, Outcome.REPLICA_ALIVE, Outcome.EXPIRED);
        assertThat(mOutcomes, is(all));
    }

    @Test
    void shouldNotRefuseASessionForReplicasThatAreLostAtOnceBeforeItsAnswer() {
        for (int i = 0; i < 4; i++) {
            var loss =
                    new Loss(
                            REQUEST,
                            List.of(PART),
                            List.of(PART),
                            Optional.of(PART),
                            Progress.NOTHING,
                            0);
            mDetector.onLoss(loss, replica("r" + i), i * SECOND / 10);
            mDetector.onUnreachable(replica("r" + i), i * SECOND / 10);
        }
        assertThat(mDetector.refusedPart(List.of(PART), SECOND), is(Optional.empty()));
    }
}
