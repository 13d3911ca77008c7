package org.fescueport.internal.decision.attempt;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.Outcome;
import org.fescueport.internal.decision.RequestId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RequestTruthTest {
    private static final AgentIncarnation AGENT = AgentIncarnation.of(NodeId.of("a"), 1);
    private static final AgentIncarnation REPLACED = AgentIncarnation.of(NodeId.of("a"), 2);

    private final RequestTruth mTruth = RequestTruth.of(RequestId.of(1, 2), false);

    @Test
    void shouldTellNotRunWhenNeverSent() {
        mTruth.begin();

        assertThat(mTruth.tell(), is(Outcome.NOT_RUN));
    }

    @Test
    void shouldNotTakeLostConnectionAsEvidence() {
        AttemptId attempt = send();
        mTruth.lost(attempt);

        assertThat(mTruth.mayAttemptAgain(), is(false));
        assertThat(mTruth.tell(), is(Outcome.UNKNOWN));
    }

    @Test
    void shouldAllowAnotherAttemptOnRecordedRefusal() {
        AttemptId attempt = send();
        mTruth.ended(attempt, Outcome.NOT_RUN, AGENT);

        assertThat(mTruth.mayAttemptAgain(), is(true));
        assertThat(mTruth.outcome(), is(Outcome.NOT_RUN));
    }

    @Test
    void shouldNotTrustRefusalOfAnotherIncarnation() {
        AttemptId attempt = send();
        mTruth.ended(attempt, Outcome.NOT_RUN, REPLACED);

        assertThat(mTruth.tell(), is(Outcome.UNKNOWN));
    }

    @Test
    void shouldNotTrustRefusalAfterStart() {
        AttemptId attempt = send();
        mTruth.started(attempt);
        mTruth.ended(attempt, Outcome.NOT_RUN, AGENT);

        assertThat(mTruth.tell(), is(Outcome.UNKNOWN));
    }

    @ParameterizedTest
    @EnumSource(Outcome.class)
    void shouldPassOnOutcomeOfSingleAttempt(Outcome outcome) {
        AttemptId attempt = send();
        mTruth.ended(attempt, outcome, AGENT);

        assertThat(mTruth.tell(), is(outcome));
    }

    @Test
    void shouldTellUnknownWhileOneOfTwoAttemptsIsOpen() {
        RequestTruth truth = RequestTruth.of(RequestId.of(1, 3), true);
        AttemptId first = truth.begin();
        truth.sending(first, AGENT);
        truth.lost(first);
        AttemptId second = truth.begin();
        truth.sending(second, REPLACED);
        truth.ended(second, Outcome.NOT_RUN, REPLACED);

        assertThat(truth.tell(), is(Outcome.UNKNOWN));
    }

    @Test
    void shouldCountRunThatBecomesKnownAfterNotRunWasTold() {
        AttemptId attempt = send();
        mTruth.ended(attempt, Outcome.NOT_RUN, AGENT);
        mTruth.tell();
        long before = Invariants.violations();

        mTruth.started(attempt);

        assertThat(mTruth.isFalseNotRun(), is(true));
        assertThat(Invariants.violations(), is(before + 1));
    }

    @Test
    void shouldForbidSecondAttemptOfUnrepeatableRequest() {
        send();

        assertThrows(Invariants.InvariantViolation.class, mTruth::begin);
    }

    private AttemptId send() {
        AttemptId attempt = mTruth.begin();
        mTruth.sending(attempt, AGENT);
        return attempt;
    }
}
