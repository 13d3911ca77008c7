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

class RequestOutcomeTrackerTest {
    private static final AgentIncarnation AGENT = AgentIncarnation.of(NodeId.of("a"), 1);
    private static final AgentIncarnation NEXT_INCARNATION = AgentIncarnation.of(NodeId.of("a"), 2);

    private final RequestOutcomeTracker mTracker =
            RequestOutcomeTracker.of(RequestId.of(1, 2), false);

    @Test
    void shouldReportNotRunWhenNeverSent() {
        mTracker.beginAttempt();

        assertThat(mTracker.finalOutcome(), is(Outcome.NOT_RUN));
    }

    @Test
    void shouldNotTakeLostConnectionAsEvidence() {
        AttemptId attempt = send();
        mTracker.lost(attempt);

        assertThat(mTracker.mayAttemptAgain(), is(false));
        assertThat(mTracker.finalOutcome(), is(Outcome.UNKNOWN));
    }

    @Test
    void shouldAllowAnotherAttemptOnRecordedRefusal() {
        AttemptId attempt = send();
        mTracker.ended(attempt, Outcome.NOT_RUN, AGENT);

        assertThat(mTracker.mayAttemptAgain(), is(true));
        assertThat(mTracker.outcome(), is(Outcome.NOT_RUN));
    }

    @Test
    void shouldNotTrustRefusalOfAnotherIncarnation() {
        AttemptId attempt = send();
        mTracker.ended(attempt, Outcome.NOT_RUN, NEXT_INCARNATION);

        assertThat(mTracker.finalOutcome(), is(Outcome.UNKNOWN));
    }

    @Test
    void shouldNotTrustRefusalAfterStart() {
        AttemptId attempt = send();
        mTracker.started(attempt);
        mTracker.ended(attempt, Outcome.NOT_RUN, AGENT);

        assertThat(mTracker.finalOutcome(), is(Outcome.UNKNOWN));
    }

    @ParameterizedTest
    @EnumSource(Outcome.class)
    void shouldReportOutcomeOfSingleAttempt(Outcome outcome) {
        AttemptId attempt = send();
        mTracker.ended(attempt, outcome, AGENT);

        assertThat(mTracker.finalOutcome(), is(outcome));
    }

    @Test
    void shouldReportUnknownWhileOneOfTwoAttemptsIsOpen() {
        RequestOutcomeTracker tracker = RequestOutcomeTracker.of(RequestId.of(1, 3), true);
        AttemptId first = tracker.beginAttempt();
        tracker.sending(first, AGENT);
        tracker.lost(first);
        AttemptId second = tracker.beginAttempt();
        tracker.sending(second, NEXT_INCARNATION);
        tracker.ended(second, Outcome.NOT_RUN, NEXT_INCARNATION);

        assertThat(tracker.finalOutcome(), is(Outcome.UNKNOWN));
    }

    @Test
    void shouldCountViolationWhenRunBecomesKnownAfterNotRunWasReported() {
        AttemptId attempt = send();
        mTracker.ended(attempt, Outcome.NOT_RUN, AGENT);
        mTracker.finalOutcome();
        long before = Invariants.violations();

        mTracker.started(attempt);

        assertThat(mTracker.isFalseNotRun(), is(true));
        assertThat(Invariants.violations(), is(before + 1));
    }

    @Test
    void shouldForbidSecondAttemptOfUnrepeatableRequest() {
        send();

        assertThrows(Invariants.InvariantViolation.class, mTracker::beginAttempt);
    }

    private AttemptId send() {
        AttemptId attempt = mTracker.beginAttempt();
        mTracker.sending(attempt, AGENT);
        return attempt;
    }
}
