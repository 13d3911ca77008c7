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
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.Outcome;
import org.fescueport.internal.decision.answer.AnswerAssembler;
import org.fescueport.internal.decision.answer.Delivery;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.attempt.RequestTruth;
import org.fescueport.internal.decision.ejection.OutlierEjection;
import org.fescueport.internal.decision.placement.Choice;
import org.fescueport.internal.decision.placement.LoadReport;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.decision.retry.RetryDecision;
import org.fescueport.internal.fleet.AgentLink;
import org.fescueport.internal.fleet.AttemptListener;
import org.fescueport.internal.telemetry.Telemetry;
import org.fescueport.internal.wire.Frames;
import org.fescueport.internal.wire.PeerCalls;
import org.fescueport.internal.wire.generated.Chunk;
import org.fescueport.internal.wire.generated.Load;
import org.fescueport.internal.wire.generated.Started;

/**
 * One request on its way: chooses a replica, follows the attempt, tries the next replica where that
 * is allowed, and gives the caller exactly one final answer.
 */
final class RequestRun {
    private static final int WAITING_BYTES_LIMIT = 64 * 1024;

    /** Small beside the first credit, so that an agent never waits for what is held back. */
    private static final int CREDIT_BATCH_BYTES = 1024;

    private static final int MAX_ANSWER_BYTES = 4 * 1024 * 1024;
    private static final long NO_REPLICA_RETRY_MILLIS = 1000;

    private final RouterContext mContext;
    private final CallerRequest mRequest;
    private final Answer mAnswer;
    private final Span mSpan;
    private final RequestTruth mTruth;
    private final ReplicaChoice mChoice;
    private final long mStartedNanos;
    private final AnswerAssembler mAssembler;
    private final Runnable mOnFinished;
    private long mLeastRefusedTokens;
    private String mKvSource = "";
    private final List<ByteString> mStrikes = new ArrayList<>();
    private Attempt mCurrent;
    private int mOwedCredit;
    private boolean mHasAnswer;
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
        mAnswer = answer;
        mSpan = span;
        mOnFinished = onFinished;
        mChoice = ReplicaChoice.of(context, request);
        mTruth = RequestTruth.of(request.id(), request.isRepeatable());
        mAssembler = AnswerAssembler.start(request.id(), MAX_ANSWER_BYTES);
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
        finish(mTruth.tell(), "caller_gone");
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
            attempt(mRequest.owner().get());
            return;
        }
        switch (mChoice.next()) {
            case Choice.Chosen chosen -> {
                mLeastRefusedTokens = chosen.leastRefusedTokens();
                mKvSource = chosen.cacheHolder().map(holder -> holder.node().name()).orElse("");
                attempt(chosen.replica());
            }
            case Choice.AllBusy busy ->
                    giveUp(
                            "overloaded",
                            "all replicas of " + mRequest.pool() + " are at their load bound",
                            busy.retryAfterMillis());
            case Choice.NoReplica ignored ->
                    giveUp(
                            "no_replica",
                            "no replica of " + mRequest.pool() + " is in service",
                            NO_REPLICA_RETRY_MILLIS);
        }
    }

    private void attempt(Replica replica) {
        mChoice.onAttempt(replica);
        mContext.counters().onAttempt();
        var attempt = new Attempt(mTruth.begin(), replica, startAttemptSpan(replica));
        mCurrent = attempt;
        mOwedCredit = 0;
        mContext.connections()
                .to(replica)
                .whenComplete(
                        (link, failure) -> {
                            if (failure != null) {
                                attempt.onUnreachable();
                            } else {
                                attempt.submitTo(link);
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
                mRequest.owner().isEmpty() && !Reasons.isFinal(reason) && mTruth.mayAttemptAgain();
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
        var outcome = mTruth.tell();
        mAnswer.fail(Failure.of(outcome, type, message, retryAfterMillis));
        finish(outcome, type);
    }

    /** An earlier sending with the same key may have run there, so "not run" would mislead. */
    private void tellOwnerGone() {
        var message =
                "the agent that owns the Idempotency-Key is gone; whether a call with it was run"
                        + " cannot be known";
        mTruth.tell();
        mAnswer.fail(Failure.of(Outcome.UNKNOWN, "owner_gone", message, 0));
        finish(Outcome.UNKNOWN, "owner_gone");
    }

    private boolean isOwnersIncarnation(long incarnation) {
        return mRequest.owner().map(owner -> owner.incarnation() == incarnation).orElse(true);
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
        if (mOwedCredit >= CREDIT_BATCH_BYTES && mCurrent != null && !mFinished) {
            mCurrent.grant(mOwedCredit, mAssembler.nextChunk() - 1);
            mOwedCredit = 0;
        }
    }

    private void beginAnswer(Attempt attempt) {
        if (mHasAnswer) {
            return;
        }
        mHasAnswer = true;
        Map<String, String> headers = new HashMap<>();
        headers.put("Fescue-Request", mRequest.id().toString());
        headers.put("Fescue-Replica", attempt.mReplica.node().name());
        headers.put("Fescue-Ticket", mContext.tokens().ticketFor(mRequest, attempt.mAgent));
        headers.put("Fescue-Resume-Token", attempt.resumeToken());
        Telemetry.addTraceparent(mSpan, headers);
        mAnswer.begin(headers);
    }

    /** One attempt; frames of one that is no longer current change nothing. */
    private final class Attempt implements AttemptListener {
        private final AttemptId mId;
        private final Replica mReplica;
        private final Span mAttemptSpan;
        private final long mTokens = PlacementRequests.tokensOf(mRequest);
        private AgentLink mLink;
        private AgentIncarnation mAgent;
        private boolean mIsReported;
        private boolean mIsSettling;

        private Attempt(AttemptId id, Replica replica, Span span) {
            mId = id;
            mReplica = replica;
            mAttemptSpan = span;
        }

        private void submitTo(AgentLink link) {
            synchronized (RequestRun.this) {
                if (isStale()) {
                    return;
                }
                mLink = link;
                long incarnation = link.hello().join().getIncarnation();
                if (!isOwnersIncarnation(incarnation)) {
                    end("owner_gone");
                    tellOwnerGone();
                    return;
                }
                mAgent = AgentIncarnation.of(mReplica.node(), incarnation);
                mTruth.sending(mId, mAgent);
                mAssembler.attempt(mId);
                loads().onSent(mReplica.node(), mTokens);
                // On the same connection and before the request, so that its agent knows in time.
                mStrikes.forEach(strike -> link.call(PeerCalls.STRIKE, strike));
                var traceparent = Telemetry.traceparentOf(mAttemptSpan);
                var clock = mContext.clock();
                var frame =
                        SubmitFrames.of(
                                mRequest,
                                mId,
                                mAssembler,
                                traceparent,
                                incarnation,
                                mLeastRefusedTokens,
                                mKvSource,
                                clock);
                link.submit(mId, frame, this, clock.monotonicTime());
            }
        }

        private void onUnreachable() {
            synchronized (RequestRun.this) {
                if (isStale()) {
                    return;
                }
                if (mRequest.owner().isPresent()) {
                    end("owner_gone");
                    tellOwnerGone();
                    return;
                }
                end("unreachable");
                onFailure();
                retryOr(
                        Outcome.NOT_RUN,
                        "unreachable",
                        () -> giveUp("unreachable", "no agent could be reached", 1000));
            }
        }

        @Override
        public void onStarted(Started started) {
            synchronized (RequestRun.this) {
                if (isStale()) {
                    return;
                }
                mTruth.started(mId);
                report(started.getLoad());
                mAttemptSpan.addEvent("started");
                if (mHasAnswer) {
                    renewResumeToken();
                } else {
                    beginAnswer(this);
                }
            }
        }

        /** The answer is kept elsewhere from now on; clients skip what is in a comment. */
        private void renewResumeToken() {
            switch (mAnswer) {
                case EventAnswer events -> events.note("resume " + resumeToken());
                case WholeAnswer ignored -> {
                    // It is given whole by this router, or not at all.
                }
            }
        }

        @Override
        public void onChunk(Chunk chunk) {
            synchronized (RequestRun.this) {
                if (isStale()) {
                    return;
                }
                byte[] piece = chunk.getData().toByteArray();
                switch (mAssembler.accept(mId, chunk.getNumber(), piece)) {
                    case Delivery.Event event -> deliver(event);
                    case Delivery.Known ignored -> grant(piece.length, 0);
                    case Delivery.Stale ignored -> mContext.counters().onStaleChunk();
                    case Delivery.Gap gap ->
                            failAnswer(
                                    "chunk "
                                            + chunk.getNumber()
                                            + " of attempt "
                                            + mId.number()
                                            + " came where "
                                            + gap.expected()
                                            + " was due");
                    case Delivery.TooLarge ignored -> failAnswer("the answer is too large");
                }
            }
        }

        private void deliver(Delivery.Event event) {
            if (event.id() == AnswerAssembler.FIRST_CHUNK) {
                mContext.counters().onFirstPiece(mContext.clock().monotonicTime() - mStartedNanos);
            }
            beginAnswer(this);
            int waiting = mAnswer.add(event.id(), event.data());
            mOwedCredit += event.data().length;
            if (waiting <= WAITING_BYTES_LIMIT && mOwedCredit >= CREDIT_BATCH_BYTES) {
                grant(mOwedCredit, event.id());
                mOwedCredit = 0;
            }
        }

        private void failAnswer(String message) {
            cancel();
            giveUp("answer_broken", message, 0);
        }

        private String resumeToken() {
            return mContext.tokens().resumeFor(mRequest, mId, mAgent, mReplica);
        }

        @Override
        public void onOutcome(org.fescueport.internal.wire.generated.Outcome outcome) {
            synchronized (RequestRun.this) {
                if (isStale()) {
                    return;
                }
                var kind = Frames.outcomeOf(outcome.getKind());
                mTruth.ended(mId, kind, mAgent);
                report(outcome.getLoad());
                end(outcome.getReason());
                if (kind == Outcome.COMPLETED) {
                    onHealthy();
                    complete(outcome);
                } else {
                    noteHealth(kind, outcome.getReason());
                    noteRefusal(outcome);
                    noteStrikes(outcome);
                    retryOr(
                            kind,
                            outcome.getReason(),
                            () ->
                                    giveUp(
                                            outcome.getReason(),
                                            outcome.getDetail(),
                                            outcome.getRetryAfterMs()));
                }
            }
        }

        @Override
        public void onLost() {
            synchronized (RequestRun.this) {
                if (isStale()) {
                    return;
                }
                if (mIsSettling) {
                    onUnsettled();
                } else {
                    settle();
                }
            }
        }

        /** Asks the same incarnation, over a new connection, what became of the attempt. */
        private void settle() {
            mIsSettling = true;
            mContext.counters().onSettling();
            mContext.connections()
                    .to(mReplica)
                    .whenComplete(
                            (link, failure) -> {
                                synchronized (RequestRun.this) {
                                    if (isStale()) {
                                        return;
                                    }
                                    if (failure != null || !isSameAgent(link)) {
                                        onUnsettled();
                                    } else {
                                        askAgain(link);
                                    }
                                }
                            });
        }

        private void askAgain(AgentLink link) {
            mLink = link;
            var frame =
                    mRequest.isRepeatable()
                            ? Frames.resume(
                                    mId,
                                    mAssembler.nextChunk(),
                                    mRequest.team().id(),
                                    SubmitFrames.FIRST_CREDIT_BYTES)
                            : Frames.refuse(mId);
            link.submit(mId, frame, this, mContext.clock().monotonicTime());
        }

        private boolean isSameAgent(AgentLink link) {
            return link.hello().join().getIncarnation() == mAgent.number();
        }

        private void onUnsettled() {
            mTruth.lost(mId);
            loads().onLost(mReplica.node(), mIsReported ? 0 : mTokens);
            end("lost");
            onFailure();
            retryOr(
                    Outcome.UNKNOWN,
                    "lost",
                    () ->
                            giveUp(
                                    "connection_lost",
                                    "agent " + mReplica.node() + " was lost before its outcome",
                                    0));
        }

        private void noteStrikes(org.fescueport.internal.wire.generated.Outcome outcome) {
            if (!outcome.getStrikes().isEmpty()) {
                mStrikes.add(outcome.getStrikes());
            }
        }

        private void noteRefusal(org.fescueport.internal.wire.generated.Outcome outcome) {
            if (Reasons.isForLoad(outcome.getReason())) {
                long load = outcome.getLoad().getOutstandingTokens();
                mChoice.onRefused(mReplica, load, outcome.getRetryAfterMs());
            }
        }

        private void noteHealth(Outcome outcome, String reason) {
            if (outcome == Outcome.NOT_RUN && !Reasons.isBackendFailure(reason)) {
                onHealthy();
            } else {
                onFailure();
            }
        }

        private void onHealthy() {
            health().onSuccess(mReplica.node(), mContext.clock().monotonicTime());
        }

        private void onFailure() {
            health().onFailure(mReplica.node(), mContext.clock().monotonicTime());
        }

        private OutlierEjection health() {
            var set = mContext.membership().replicas(mRequest.pool());
            return mContext.health().of(mRequest.pool(), set);
        }

        private void complete(org.fescueport.internal.wire.generated.Outcome outcome) {
            beginAnswer(this);
            mAnswer.complete(outcome);
            finish(mTruth.tell(), "completed");
        }

        private void grant(int bytes, int takenChunk) {
            if (mLink != null) {
                mLink.send(Frames.credit(mId, bytes, takenChunk));
            }
        }

        private void cancel() {
            if (mLink != null) {
                if (mLink.forget(mId, this)) {
                    mLink.send(Frames.cancel(mId));
                }
                loads().onLost(mReplica.node(), mIsReported ? 0 : mTokens);
            }
            end("cancelled");
        }

        private void end(String how) {
            if (mCurrent == this) {
                mCurrent = null;
            }
            mAttemptSpan.setAttribute("fescue.ended", how);
            mAttemptSpan.end();
        }

        private void report(Load load) {
            long now = mContext.clock().monotonicTime();
            var report =
                    new LoadReport(
                            load.getOutstandingTokens(),
                            load.getMeanTokens(),
                            load.getTokensPerSecond());
            loads().onReport(mReplica.node(), report, mIsReported ? 0 : mTokens, now);
            mIsReported = true;
        }

        private org.fescueport.internal.decision.placement.LoadBook loads() {
            return mContext.membership().loads(mRequest.pool());
        }

        private boolean isStale() {
            return mFinished || mCurrent != this;
        }
    }
}
