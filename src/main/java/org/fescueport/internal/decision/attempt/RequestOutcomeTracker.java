package org.fescueport.internal.decision.attempt;

import java.util.Map;
import java.util.TreeMap;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.Outcome;
import org.fescueport.internal.decision.RequestId;

/**
 * Tracks what a router knows about the attempts at one request, and derives the outcome that may be
 * reported to the caller.
 *
 * <p>An attempt counts as sent before its first byte is handed to the connection. Only a refusal
 * that the agent has recorded proves that a sent attempt did not run; a lost connection or a
 * timeout proves nothing.
 *
 * <pre>{@code
 * var tracker = RequestOutcomeTracker.of(request, operation.idempotent());
 * while (tracker.mayAttemptAgain()) {
 *     AttemptId attempt = tracker.beginAttempt();
 *     tracker.sending(attempt, agent);
 *     ...
 * }
 * caller.report(tracker.finalOutcome());
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

    /**
     * Returns a tracker for a request that has not been sent yet.
     *
     * @param repeatable whether the request may run more than once
     */
    public static RequestOutcomeTracker of(RequestId request, boolean repeatable) {
        return new RequestOutcomeTracker(request, repeatable);
    }

    /**
     * Returns whether another attempt is allowed. The request must be repeatable, or every earlier
     * attempt must be known not to have run. No attempt is allowed after one has completed or after
     * {@link #finalOutcome} was called.
     */
    public synchronized boolean mayAttemptAgain() {
        if (mFinalOutcome != null || mAttempts.containsValue(Evidence.COMPLETED)) {
            return false;
        }
        return mRepeatable || outcome() == Outcome.NOT_RUN;
    }

    /**
     * Begins the next attempt and returns its id. Call {@link #sending} before the first byte is
     * sent.
     */
    public synchronized AttemptId beginAttempt() {
        Invariants.check(
                mayAttemptAgain(), "request %s may not be attempted again: %s", mRequest, this);
        AttemptId attempt = AttemptId.of(mRequest, mAttempts.size() + 1);
        mAttempts.put(attempt.number(), Evidence.NEVER_SENT);
        return attempt;
    }

    /**
     * Records that the attempt's frame is about to be handed to a connection. An attempt may be
     * sent only to a single incarnation of one agent.
     */
    public synchronized void sending(AttemptId attempt, AgentIncarnation agent) {
        Evidence evidence = evidence(attempt);
        Invariants.check(
                mFinalOutcome == null,
                "request %s was sent after its final outcome was reported",
                mRequest);
        Invariants.check(
                evidence == Evidence.NEVER_SENT || evidence == Evidence.SENT,
                "attempt %s was sent again in state %s",
                attempt,
                evidence);
        AgentIncarnation other = mSentTo.putIfAbsent(attempt.number(), agent);
        Invariants.check(
                other == null || other.equals(agent),
                "attempt %s was sent to both %s and %s",
                attempt,
                other,
                agent);
        mAttempts.put(attempt.number(), Evidence.SENT);
    }

    /** Records the agent's report that the attempt was handed to the backend server. */
    public synchronized void started(AttemptId attempt) {
        Evidence evidence = evidence(attempt);
        if (evidence == Evidence.REFUSED || evidence == Evidence.NEVER_SENT) {
            recordContradictingRun(attempt, Evidence.SENT_AND_STARTED);
        } else if (evidence == Evidence.SENT) {
            mAttempts.put(attempt.number(), Evidence.SENT_AND_STARTED);
        }
    }

    /**
     * Records the outcome that the agent reported. {@link Outcome#NOT_RUN} means that the agent has
     * recorded a refusal. It is ignored if it comes from an incarnation other than the one that the
     * attempt was sent to. After a start it counts as a violation, and the outcome becomes {@link
     * Outcome#UNKNOWN}.
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
     * Records that the connection was lost or the agent did not answer in time. This does not prove
     * that the attempt did not run: an attempt that was sent still counts as sent.
     */
    public synchronized void lost(AttemptId attempt) {
        Evidence evidence = evidence(attempt);
        if (evidence == Evidence.SENT_AND_STARTED) {
            mAttempts.put(attempt.number(), Evidence.UNKNOWN);
        }
    }

    /** Returns the outcome according to the evidence so far; it may still change. */
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

    /**
     * Returns the outcome to report to the caller. The first call determines it; later calls return
     * the same value.
     */
    public synchronized Outcome finalOutcome() {
        if (mFinalOutcome == null) {
            mFinalOutcome = outcome();
        }
        return mFinalOutcome;
    }

    /**
     * Returns whether {@link Outcome#NOT_RUN} was reported to the caller but is no longer the
     * outcome, because the router has learned that an attempt ran.
     */
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
