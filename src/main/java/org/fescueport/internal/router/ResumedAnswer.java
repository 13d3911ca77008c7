package org.fescueport.internal.router;

import io.opentelemetry.api.trace.Span;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.Outcome;
import org.fescueport.internal.decision.answer.AnswerAssembler;
import org.fescueport.internal.decision.answer.Delivery;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.fleet.AgentLink;
import org.fescueport.internal.fleet.AttemptListener;
import org.fescueport.internal.security.ResumeToken;
import org.fescueport.internal.wire.Frames;
import org.fescueport.internal.wire.generated.Chunk;
import org.fescueport.internal.wire.generated.Started;

/** The rest of an answer that another router began, from the agent that keeps it. */
final class ResumedAnswer implements AttemptListener {
    private static final int MAX_ANSWER_BYTES = 4 * 1024 * 1024;
    private static final int LONGEST_SECONDS = 600;

    private final RouterContext mContext;
    private final ResumeToken mToken;
    private final Answer mAnswer;
    private final Span mSpan;
    private final AnswerAssembler mAssembler;
    private final int mFromChunk;
    private final Runnable mOnFinished;
    private AgentLink mLink;
    private boolean mHasAnswer;
    private boolean mFinished;
    private Future<?> mLimit;

    private ResumedAnswer(
            RouterContext context,
            ResumeToken token,
            int lastEventId,
            Answer answer,
            Span span,
            Runnable onFinished) {
        mContext = context;
        mToken = token;
        mAnswer = answer;
        mSpan = span;
        mFromChunk = lastEventId + 1;
        mOnFinished = onFinished;
        mAssembler =
                AnswerAssembler.resume(
                        token.attempt().request(), MAX_ANSWER_BYTES, mFromChunk, lastEventId);
        mAssembler.attempt(token.attempt());
    }

    static ResumedAnswer of(
            RouterContext context,
            ResumeToken token,
            int lastEventId,
            Answer answer,
            Span span,
            Runnable onFinished) {
        return new ResumedAnswer(context, token, lastEventId, answer, span, onFinished);
    }

    synchronized void start(Replica holder) {
        mLimit =
                mContext.timers()
                        .schedule(
                                () -> fail("the answer took too long"),
                                LONGEST_SECONDS,
                                TimeUnit.SECONDS);
        mContext.connections().to(holder).whenComplete((link, failure) -> onLink(link));
    }

    /** Returns the agent that the token names, as a replica to connect to. */
    static Replica holderOf(ResumeToken token) {
        return Replica.of(token.agent().node(), FailureDomain.of(""), token.address());
    }

    synchronized void onCallerGone() {
        if (!mFinished && mLink != null && mLink.forget(mToken.attempt(), this)) {
            mLink.send(Frames.cancel(mToken.attempt()));
        }
        finish(Outcome.UNKNOWN, "caller_gone");
    }

    private synchronized void onLink(AgentLink link) {
        boolean isHolder =
                link != null && link.hello().join().getIncarnation() == mToken.agent().number();
        if (!isHolder) {
            fail("the agent that kept the answer is gone; send the request again");
            return;
        }
        mLink = link;
        link.submit(
                mToken.attempt(),
                Frames.resume(
                        mToken.attempt(),
                        mFromChunk,
                        mToken.team(),
                        SubmitFrames.FIRST_CREDIT_BYTES),
                this,
                mContext.clock().monotonicTime());
    }

    @Override
    public void onStarted(Started started) {
        // The answer began long ago.
    }

    @Override
    public synchronized void onChunk(Chunk chunk) {
        if (mFinished) {
            return;
        }
        byte[] piece = chunk.getData().toByteArray();
        switch (mAssembler.accept(mToken.attempt(), chunk.getNumber(), piece)) {
            case Delivery.Event event -> {
                begin();
                mAnswer.add(event.id(), event.data());
                mLink.send(Frames.credit(mToken.attempt(), piece.length, event.id()));
            }
            case Delivery.AlreadyDelivered ignored ->
                    mLink.send(Frames.credit(mToken.attempt(), piece.length, 0));
            case Delivery.Stale ignored -> mContext.counters().onStaleChunk();
            case Delivery.Gap ignored -> fail("chunks of the answer are missing");
            case Delivery.TooLarge ignored -> fail("the answer is too large");
        }
    }

    @Override
    public synchronized void onOutcome(org.fescueport.internal.wire.generated.Outcome outcome) {
        if (mFinished) {
            return;
        }
        if (Frames.outcomeOf(outcome.getKind()) != Outcome.COMPLETED) {
            fail(outcome.getDetail());
            return;
        }
        begin();
        mAnswer.complete(outcome);
        finish(Outcome.COMPLETED, "resumed");
    }

    @Override
    public void onLost() {
        fail("the agent that kept the answer was lost; send the request again");
    }

    private void begin() {
        if (!mHasAnswer) {
            mHasAnswer = true;
            mAnswer.begin(Map.of("Fescue-Request", mToken.attempt().request().toString()));
        }
    }

    private synchronized void fail(String message) {
        if (!mFinished) {
            mAnswer.fail(Failure.of(Outcome.UNKNOWN, "answer_not_kept", message, 0));
            finish(Outcome.UNKNOWN, "answer_not_kept");
        }
    }

    private void finish(Outcome outcome, String type) {
        if (mFinished) {
            return;
        }
        mFinished = true;
        mLimit.cancel(false);
        mContext.counters().onOutcome(outcome, type);
        mSpan.end();
        mOnFinished.run();
    }
}
