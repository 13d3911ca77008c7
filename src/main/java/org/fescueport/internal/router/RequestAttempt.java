package org.fescueport.internal.router;

import com.google.protobuf.ByteString;
import io.opentelemetry.api.trace.Span;
import java.util.List;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.answer.AnswerAssembler;
import org.fescueport.internal.decision.answer.Delivery;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.placement.Replica;
import org.fescueport.internal.fleet.AgentLink;
import org.fescueport.internal.fleet.AttemptListener;
import org.fescueport.internal.telemetry.Telemetry;
import org.fescueport.internal.wire.Frames;
import org.fescueport.internal.wire.PeerCalls;
import org.fescueport.internal.wire.generated.Chunk;
import org.fescueport.internal.wire.generated.Outcome;
import org.fescueport.internal.wire.generated.Started;

/**
 * One attempt of a request at one agent; frames of one that is no longer current change nothing.
 *
 * <p>Its state and that of its request are changed under the request's lock.
 */
final class RequestAttempt implements AttemptListener {
    private final RequestRun mRun;
    private final RouterContext mContext;
    private final CallerRequest mRequest;
    private final AttemptId mId;
    private final Replica mReplica;
    private final Span mSpan;
    private final ReplicaAccount mAccount;
    private AgentLink mLink;
    private AgentIncarnation mAgent;
    private boolean mIsSettling;

    RequestAttempt(
            RequestRun run,
            RouterContext context,
            CallerRequest request,
            AttemptId id,
            Replica replica,
            Span span) {
        mRun = run;
        mContext = context;
        mRequest = request;
        mId = id;
        mReplica = replica;
        mSpan = span;
        mAccount = ReplicaAccount.of(context, request, replica);
    }

    Replica replica() {
        return mReplica;
    }

    AgentIncarnation agent() {
        return mAgent;
    }

    String resumeToken() {
        return mContext.tokens().resumeFor(mRequest, mId, mAgent, mReplica);
    }

    /**
     * Sends the request.
     *
     * @param strikes told first on the same connection, so that its agent knows them in time
     */
    void submitTo(
            AgentLink link, List<ByteString> strikes, long leastRefusedTokens, String kvSource) {
        synchronized (mRun) {
            if (isStale()) {
                return;
            }
            mLink = link;
            long incarnation = link.hello().join().getIncarnation();
            if (!isOwnersIncarnation(incarnation)) {
                mRun.onOwnerGone(this);
                return;
            }
            mAgent = AgentIncarnation.of(mReplica.node(), incarnation);
            mRun.outcomeTracker().sending(mId, mAgent);
            mRun.flow().onAttempt(mId);
            mAccount.onSent();
            strikes.forEach(strike -> link.call(PeerCalls.STRIKE, strike));
            var clock = mContext.clock();
            var frame =
                    SubmitFrames.of(
                            mRequest,
                            mId,
                            mRun.flow().assembler(),
                            Telemetry.traceparentOf(mSpan),
                            incarnation,
                            leastRefusedTokens,
                            kvSource,
                            clock);
            link.submit(mId, frame, this, clock.monotonicTime());
        }
    }

    /** No connection to the agent could be had. */
    void onUnreachable() {
        synchronized (mRun) {
            if (isStale()) {
                return;
            }
            if (mRequest.owner().isPresent()) {
                mRun.onOwnerGone(this);
                return;
            }
            mAccount.onFailure();
            mRun.onUnreachable(this);
        }
    }

    @Override
    public void onStarted(Started started) {
        synchronized (mRun) {
            if (isStale()) {
                return;
            }
            mRun.outcomeTracker().started(mId);
            mAccount.onReport(started.getLoad());
            mSpan.addEvent("started");
            if (mRun.flow().hasBegun()) {
                mRun.flow().renewResumeToken(resumeToken());
            } else {
                mRun.beginAnswer(this);
            }
        }
    }

    @Override
    public void onChunk(Chunk chunk) {
        synchronized (mRun) {
            if (isStale()) {
                return;
            }
            byte[] piece = chunk.getData().toByteArray();
            switch (mRun.flow().accept(mId, chunk.getNumber(), piece)) {
                case Delivery.Event event -> deliver(event);
                case Delivery.AlreadyDelivered ignored -> grant(piece.length, 0);
                case Delivery.Stale ignored -> mContext.counters().onStaleChunk();
                case Delivery.Gap gap ->
                        mRun.onBrokenAnswer(
                                "chunk "
                                        + chunk.getNumber()
                                        + " of attempt "
                                        + mId.number()
                                        + " came where "
                                        + gap.expected()
                                        + " was due");
                case Delivery.TooLarge ignored -> mRun.onBrokenAnswer("the answer is too large");
            }
        }
    }

    private void deliver(Delivery.Event event) {
        if (event.id() == AnswerAssembler.FIRST_CHUNK) {
            mContext.counters().onFirstPiece(mRun.elapsedNanos());
        }
        mRun.beginAnswer(this);
        grant(mRun.flow().deliver(event), event.id());
    }

    @Override
    public void onOutcome(Outcome outcome) {
        synchronized (mRun) {
            if (isStale()) {
                return;
            }
            var kind = Frames.outcomeOf(outcome.getKind());
            mRun.outcomeTracker().ended(mId, kind, mAgent);
            mAccount.onReport(outcome.getLoad());
            mAccount.onEnded(kind, outcome.getReason());
            mRun.onOutcome(this, kind, outcome);
        }
    }

    @Override
    public void onLost() {
        synchronized (mRun) {
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
                            synchronized (mRun) {
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
                                mRun.flow().nextChunk(),
                                mRequest.team().id(),
                                SubmitFrames.FIRST_CREDIT_BYTES)
                        : Frames.refuse(mId);
        link.submit(mId, frame, this, mContext.clock().monotonicTime());
    }

    private boolean isOwnersIncarnation(long incarnation) {
        return mRequest.owner().map(owner -> owner.incarnation() == incarnation).orElse(true);
    }

    private boolean isSameAgent(AgentLink link) {
        return link.hello().join().getIncarnation() == mAgent.number();
    }

    private void onUnsettled() {
        mRun.outcomeTracker().lost(mId);
        mAccount.onLost();
        mAccount.onFailure();
        mRun.onUnsettled(this);
    }

    /** Grants credit, if there is any, for what the caller has taken. */
    void grant(int bytes, int takenChunk) {
        if (mLink != null && bytes > 0) {
            mLink.send(Frames.credit(mId, bytes, takenChunk));
        }
    }

    /** Stops the work at the agent; its frames are not heard any more. */
    void cancel() {
        if (mLink != null) {
            if (mLink.forget(mId, this)) {
                mLink.send(Frames.cancel(mId));
            }
            mAccount.onLost();
        }
        end("cancelled");
    }

    /** Closes the attempt's span. */
    void end(String how) {
        mRun.onAttemptEnded(this);
        mSpan.setAttribute("fescue.ended", how);
        mSpan.end();
    }

    private boolean isStale() {
        return !mRun.isCurrent(this);
    }
}
