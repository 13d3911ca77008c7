package org.fescueport.internal.decision.attempt;

import java.util.Map;
import java.util.TreeMap;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.Outcome;
import org.fescueport.internal.decision.RequestId;

/**
 * What a router knows of one request over all its attempts, and so what its caller may be told.
 *
 * <p>An attempt counts as sent from before its first byte is handed to the connection. Only an
 * agent's recorded refusal takes that back; a lost connection or a timeout never does.
 *
 * <pre>{@code
 * RequestTruth truth = RequestTruth.of(request, operation.idempotent());
 * while (truth.mayAttemptAgain()) {
 *     AttemptId attempt = truth.begin();
 *     truth.sending(attempt, agent);
 *     ...
 * }
 * caller.tell(truth.tell());
 * }</pre>
 */
public final class RequestOutcomeTracker {
    private enum Evidence {
        NEVER_SENT,
        SENT,
        SENT_AND_STARTED,
        REFUSED,
        COMPLETED,
        FAILED,
        UNKNOWN
    }

    private final RequestId mRequest;
    private final boolean mRepeatable;
    private final Map<Integer, Evidence> mAttempts = new TreeMap<>();
    private final Map<Integer, AgentIncarnation> mSentTo = new TreeMap<>();
    private Outcome mFinalOutcome;

    private RequestOutcomeTracker(RequestId request, boolean repeatable) {
        mRequest = request;
        mRepeatable = repeatable;
    }

    /** Returns the record of a request that has not been sent anywhere. */
    public static RequestOutcomeTracker of(RequestId request, boolean repeatable) {
        return new RequestOutcomeTracker(request, repeatable);
    }

    /**
     * Returns whether another attempt is allowed: the request may be repeated, or all earlier
     * attempts have surely not run; and nothing final was told.
     */
    public synchronized boolean mayAttemptAgain() {
        if (mFinalOutcome != null || mAttempts.containsValue(Evidence.COMPLETED)) {
            return false;
        }
        return mRepeatable || outcome() == Outcome.NOT_RUN;
    }

    /** Opens the next attempt; call {@link #sending} before its first byte leaves. */
    public synchronized AttemptId beginAttempt() {
        Invariants.check(
                mayAttemptAgain(), "request %s may not be attempted again: %s", mRequest, this);
        AttemptId attempt = AttemptId.of(mRequest, mAttempts.size() + 1);
        mAttempts.put(attempt.number(), Evidence.NEVER_SENT);
        return attempt;
    }

    /**
     * Notes that the attempt's frame is about to be handed to a connection. An attempt goes to one
     * incarnation of one agent only.
     */
    public synchronized void sending(AttemptId attempt, AgentIncarnation agent) {
        Evidence evidence = evidence(attempt);
        Invariants.check(
                mFinalOutcome == null, "request %s is sent after its outcome was told", mRequest);
        Invariants.check(
                evidence == Evidence.NEVER_SENT || evidence == Evidence.SENT,
                "attempt %s is sent again after %s",
                attempt,
                evidence);
        AgentIncarnation other = mSentTo.putIfAbsent(attempt.number(), agent);
        Invariants.check(
                other == null || other.equals(agent),
                "attempt %s is sent to %s and to %s",
                attempt,
                other,
                agent);
        mAttempts.put(attempt.number(), Evidence.SENT);
    }

    /** Notes the agent's word that the backend server has the attempt. */
    public synchronized void started(AttemptId attempt) {
        Evidence evidence = evidence(attempt);
        if (evidence == Evidence.REFUSED || evidence == Evidence.NEVER_SENT) {
            recordContradictingRun(attempt, Evidence.SENT_AND_STARTED);
        } else if (evidence == Evidence.SENT) {
            mAttempts.put(attempt.number(), Evidence.SENT_AND_STARTED);
        }
    }

    /**
     * Notes the outcome that the agent gave. {@link Outcome#NOT_RUN} is the agent's word that a
     * refusal is recorded; it is not believed after a start, nor from another incarnation than the
     * one that the attempt was sent to.
     */
    public synchronized void ended(AttemptId attempt, Outcome outcome, AgentIncarnation agent) {
        Evidence before = evidence(attempt);
        Evidence after = of(outcome);
        if (after == Evidence.REFUSED && !agent.equals(mSentTo.get(attempt.number()))) {
            return;
        }
        boolean ran = after == Evidence.COMPLETED || after == Evidence.FAILED;
        if (ran && (before == Evidence.REFUSED || before == Evidence.NEVER_SENT)) {
            recordContradictingRun(attempt, after);
        } else if (before == Evidence.SENT) {
            mAttempts.put(attempt.number(), after);
        } else if (before == Evidence.SENT_AND_STARTED) {
            boolean isConsistent = Invariants.observe(after != Evidence.REFUSED);
            mAttempts.put(attempt.number(), isConsistent ? after : Evidence.UNKNOWN);
        } else if (before == Evidence.UNKNOWN && ran) {
            mAttempts.put(attempt.number(), after);
        }
    }

    /**
     * Notes that the connection was lost or the agent did not answer in time. This is no evidence:
     * a sent attempt stays sent.
     */
    public synchronized void lost(AttemptId attempt) {
        Evidence evidence = evidence(attempt);
        if (evidence == Evidence.SENT_AND_STARTED) {
            mAttempts.put(attempt.number(), Evidence.UNKNOWN);
        }
    }

    /** Returns the outcome that the evidence of this moment allows. */
    public synchronized Outcome outcome() {
        if (mAttempts.containsValue(Evidence.COMPLETED)) {
            return Outcome.COMPLETED;
        }
        boolean surelyNotRun =
                mAttempts.values().stream()
                        .allMatch(e -> e == Evidence.NEVER_SENT || e == Evidence.REFUSED);
        if (surelyNotRun) {
            return Outcome.NOT_RUN;
        }
        boolean open =
                mAttempts.containsValue(Evidence.SENT)
                        || mAttempts.containsValue(Evidence.SENT_AND_STARTED)
                        || mAttempts.containsValue(Evidence.UNKNOWN);
        return open ? Outcome.UNKNOWN : Outcome.FAILED_AFTER_RUN;
    }

    /** Fixes and returns the outcome that the caller is told; later calls give the same one. */
    public synchronized Outcome finalOutcome() {
        if (mFinalOutcome == null) {
            mFinalOutcome = outcome();
        }
        return mFinalOutcome;
    }

    /** Returns whether "not run" was told and a run became known afterwards. */
    public synchronized boolean isFalseNotRun() {
        return mFinalOutcome == Outcome.NOT_RUN && outcome() != Outcome.NOT_RUN;
    }

    @Override
    public synchronized String toString() {
        return mAttempts.toString();
    }

    private void recordContradictingRun(AttemptId attempt, Evidence evidence) {
        Invariants.observe(false);
        mAttempts.put(attempt.number(), evidence);
    }

    private Evidence evidence(AttemptId attempt) {
        Evidence evidence = mAttempts.get(attempt.number());
        Invariants.check(
                evidence != null && attempt.request().equals(mRequest),
                "attempt %s does not belong to request %s",
                attempt,
                mRequest);
        return evidence;
    }

    private static Evidence of(Outcome outcome) {
        return switch (outcome) {
            case COMPLETED -> Evidence.COMPLETED;
            case NOT_RUN -> Evidence.REFUSED;
            case FAILED_AFTER_RUN -> Evidence.FAILED;
            case UNKNOWN -> Evidence.UNKNOWN;
        };
    }
}
