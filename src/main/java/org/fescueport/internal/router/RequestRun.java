package org.fescueport.internal.router;

import com.google.protobuf.ByteString;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.Outcome;
import org.fescueport.internal.decision.attempt.RequestOutcomeTracker;
import org.fescueport.internal.decision.placement.PlacementResult;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.retry.RetryDecision;
import org.fescueport.internal.telemetry.Telemetry;

/**
 * One request on its way: chooses a replica, follows the attempt, tries the next replica where that
 * is allowed, and gives the caller exactly one final answer.
 */
final class RequestRun {
    private static final long NO_REPLICA_RETRY_MILLIS = 1000;
    private static final long UNREACHED_RETRY_MILLIS = 1000;

    private final RouterContext mContext;
    private final CallerRequest mRequest;
    private final Span mSpan;
    private final RequestOutcomeTracker mOutcomeTracker;
    private final ReplicaChoice mChoice;
    private final long mStartedNanos;
    private final AnswerFlow mFlow;
    private final Runnable mOnFinished;
    private final List<ByteString> mStrikes = new ArrayList<>();
    private RequestAttempt mCurrent;
    private boolean mFinished;
    private Future<?> mDeadline;

    private RequestRun(
            RouterContext context,
            CallerRequest request,
            Answer answer,
            Span span,
            Runnable onFinished) {
        mContext = context;
        mRequest = request;
        mSpan = span;
        mOnFinished = onFinished;
        mChoice = ReplicaChoice.of(context, request);
        mOutcomeTracker = RequestOutcomeTracker.of(request.id(), request.isRepeatable());
        mFlow = AnswerFlow.of(request, answer);
        mStartedNanos = context.clock().monotonicTime();
    }

    /** Returns a request that has not started; {@code onFinished} is called once at its end. */
    static RequestRun of(
            RouterContext context,
            CallerRequest request,
            Answer answer,
            Span span,
            Runnable onFinished) {
        var run = new RequestRun(context, request, answer, span, onFinished);
        answer.onDrained(run::onDrained);
        return run;
    }

    /** Starts the request; its answer is told everything that follows. */
    synchronized void start() {
        long left = mRequest.deadlineNanos() - mStartedNanos;
        mContext.budget().onRequest();
        mDeadline = mContext.timers().schedule(this::onDeadline, left, TimeUnit.NANOSECONDS);
        tryNext();
    }

    /** The caller went away: nobody waits for the answer any more. */
    synchronized void onCallerGone() {
        if (mFinished) {
            return;
        }
        mContext.counters().onCallerGone();
        cancelCurrent();
        finish(mOutcomeTracker.finalOutcome(), "caller_gone");
    }

    private synchronized void onDeadline() {
        if (mFinished) {
            return;
        }
        cancelCurrent();
        giveUp("deadline_passed", "the answer was not whole by the deadline", 0);
    }

    private void tryNext() {
        if (mRequest.owner().isPresent()) {
            attempt(mRequest.owner().get(), 0, "");
            return;
        }
        switch (mChoice.next()) {
            case PlacementResult.Chosen chosen -> {
                var holder = chosen.cacheHolder().map(Replica::node).map(NodeId::name);
                attempt(chosen.replica(), chosen.leastRefusedTokens(), holder.orElse(""));
            }
            case PlacementResult.AllBusy busy ->
                    giveUp(
                            "overloaded",
                            "all replicas of " + mRequest.pool() + " are at their load bound",
                            busy.retryAfterMillis());
            case PlacementResult.NoReplica ignored ->
                    giveUp(
                            "no_replica",
                            "no replica of " + mRequest.pool() + " is in service",
                            NO_REPLICA_RETRY_MILLIS);
        }
    }

    private void attempt(Replica replica, long leastRefusedTokens, String kvSource) {
        mChoice.onAttempt(replica);
        mContext.counters().onAttempt();
        var span = startAttemptSpan(replica);
        var attempt =
                new RequestAttempt(
                        this, mContext, mRequest, mOutcomeTracker.beginAttempt(), replica, span);
        mCurrent = attempt;
        mContext.connections()
                .to(replica)
                .whenComplete(
                        (link, failure) -> {
                            if (failure != null) {
                                attempt.onUnreachable();
                            } else {
                                attempt.submitTo(link, mStrikes, leastRefusedTokens, kvSource);
                            }
                        });
    }

    private Span startAttemptSpan(Replica replica) {
        var span =
                mContext.telemetry()
                        .startSpan(
                                "router.attempt", SpanKind.CLIENT, Telemetry.traceparentOf(mSpan));
        span.setAttribute("fescue.replica", replica.node().name());
        return span;
    }

    /** Tries again where the policy allows it, else gives the final answer at once. */
    private void retryOr(Outcome outcome, String reason, Runnable otherwise) {
        boolean isAllowed =
                mRequest.owner().isEmpty()
                        && !Reasons.isFinal(reason)
                        && mOutcomeTracker.mayAttemptAgain();
        if (!isAllowed) {
            otherwise.run();
            return;
        }
        switch (mChoice.after(outcome, reason)) {
            case RetryDecision.Retry retry -> {
                mContext.counters().onRetry(reason);
                tryNextIn(retry.delayMillis());
            }
            case RetryDecision.GiveUp ignored -> otherwise.run();
        }
    }

    private void tryNextIn(long delayMillis) {
        if (delayMillis == 0) {
            tryNext();
            return;
        }
        mContext.timers().schedule(this::tryNextUnlessFinished, delayMillis, TimeUnit.MILLISECONDS);
    }

    private synchronized void tryNextUnlessFinished() {
        if (!mFinished) {
            tryNext();
        }
    }

    private void giveUp(String type, String message, long retryAfterMillis) {
        var outcome = mOutcomeTracker.finalOutcome();
        mFlow.fail(Failure.of(outcome, type, message, retryAfterMillis));
        finish(outcome, type);
    }

    private void finish(Outcome outcome, String type) {
        mFinished = true;
        mDeadline.cancel(false);
        mContext.counters().onOutcome(outcome, type);
        mSpan.setAttribute("fescue.outcome", Failure.nameOf(outcome));
        mSpan.end();
        mOnFinished.run();
    }

    private void cancelCurrent() {
        if (mCurrent != null) {
            mCurrent.cancel();
        }
    }

    private synchronized void onDrained() {
        if (mCurrent != null && !mFinished) {
            mCurrent.grant(mFlow.takeCredit(), mFlow.nextChunk() - 1);
        }
    }

    /** Returns the answer's pieces; used under the lock of this request, as all that follows. */
    AnswerFlow flow() {
        return mFlow;
    }

    RequestOutcomeTracker outcomeTracker() {
        return mOutcomeTracker;
    }

    long elapsedNanos() {
        return mContext.clock().monotonicTime() - mStartedNanos;
    }

    boolean isCurrent(RequestAttempt attempt) {
        return !mFinished && mCurrent == attempt;
    }

    void onAttemptEnded(RequestAttempt attempt) {
        if (mCurrent == attempt) {
            mCurrent = null;
        }
    }

    /** Begins the caller's answer with what this attempt knows, unless it has begun. */
    void beginAnswer(RequestAttempt attempt) {
        if (mFlow.hasBegun()) {
            return;
        }
        Map<String, String> headers = new HashMap<>();
        headers.put("Fescue-Request", mRequest.id().toString());
        headers.put("Fescue-Replica", attempt.replica().node().name());
        headers.put("Fescue-Ticket", mContext.tokens().ticketFor(mRequest, attempt.agent()));
        headers.put("Fescue-Resume-Token", attempt.resumeToken());
        Telemetry.addTraceparent(mSpan, headers);
        mFlow.begin(headers);
    }

    void onBrokenAnswer(String message) {
        cancelCurrent();
        giveUp("answer_broken", message, 0);
    }

    /** An earlier sending with the same key may have run there, so "not run" would mislead. */
    void onOwnerGone(RequestAttempt attempt) {
        attempt.end("owner_gone");
        var message =
                "the agent that owns the Idempotency-Key is gone; whether a call with it was run"
                        + " cannot be known";
        mOutcomeTracker.finalOutcome();
        mFlow.fail(Failure.of(Outcome.UNKNOWN, "owner_gone", message, 0));
        finish(Outcome.UNKNOWN, "owner_gone");
    }

    void onUnreachable(RequestAttempt attempt) {
        attempt.end("unreachable");
        retryOr(
                Outcome.NOT_RUN,
                "unreachable",
                () -> giveUp("unreachable", "no agent could be reached", UNREACHED_RETRY_MILLIS));
    }

    void onUnsettled(RequestAttempt attempt) {
        attempt.end("lost");
        var message = "agent " + attempt.replica().node() + " was lost before its outcome";
        retryOr(Outcome.UNKNOWN, "lost", () -> giveUp("connection_lost", message, 0));
    }

    void onOutcome(
            RequestAttempt attempt,
            Outcome kind,
            org.fescueport.internal.wire.generated.Outcome outcome) {
        attempt.end(outcome.getReason());
        if (kind == Outcome.COMPLETED) {
            beginAnswer(attempt);
            mFlow.complete(outcome);
            finish(mOutcomeTracker.finalOutcome(), "completed");
            return;
        }
        if (Reasons.isForLoad(outcome.getReason())) {
            long load = outcome.getLoad().getOutstandingTokens();
            mChoice.onRefused(attempt.replica(), load, outcome.getRetryAfterMs());
        }
        if (!outcome.getStrikes().isEmpty()) {
            mStrikes.add(outcome.getStrikes());
        }
        retryOr(kind, outcome.getReason(), () -> giveUp(outcome));
    }

    private void giveUp(org.fescueport.internal.wire.generated.Outcome outcome) {
        giveUp(outcome.getReason(), outcome.getDetail(), outcome.getRetryAfterMs());
    }
}
