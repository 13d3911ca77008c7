package org.fescueport.internal.agent;

import com.google.protobuf.ByteString;
import io.opentelemetry.api.trace.Span;
import java.util.ArrayDeque;
import java.util.Queue;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.Work;
import org.fescueport.internal.decision.admission.WorkOffer;
import org.fescueport.internal.decision.answer.Chunk;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.claim.ContentHash;
import org.fescueport.internal.decision.poison.Fingerprint;
import org.fescueport.internal.wire.FrameConnection;
import org.fescueport.internal.wire.generated.Frame;
import org.fescueport.internal.wire.generated.Submit;
import org.fescueport.port.Engine;

/** One attempt at an agent, from its arrival until its answer is no longer kept. */
final class Run {
    private static final double THOUSANDTHS = 1000;

    private final AttemptId mId;
    private final TeamId mTeam;
    private final Span mSpan;
    private final long mDeadlineNanos;
    private final Fingerprint mFingerprint;
    private final Queue<Chunk> mUnsent = new ArrayDeque<>();
    private Submit mSubmit;
    private FrameConnection mConnection;
    private long mCreditBytes;
    private Engine.Handle mHandle;
    private boolean mIsStarted;
    private KeyedRuns.Permit mPermit;
    private AgentIncarnation mServer;
    private ByteString mStrikes = ByteString.EMPTY;
    private byte[] mFirstPiece = {};
    private Frame mOutcome;
    private boolean mIsOutcomeSent;
    private long mEndedNanos;
    private long mProgressNanos;

    private Run(
            AttemptId id,
            Submit submit,
            Span span,
            long deadlineNanos,
            FrameConnection connection) {
        mId = id;
        mSubmit = submit;
        mTeam = TeamId.of(submit.getTeam());
        mSpan = span;
        mDeadlineNanos = deadlineNanos;
        mFingerprint = Fingerprint.of(mTeam, ContentHash.of(submit.getBody().toByteArray()));
        mConnection = connection;
        mCreditBytes = submit.getCreditBytes();
    }

    static Run of(
            AttemptId id,
            Submit submit,
            Span span,
            long deadlineNanos,
            FrameConnection connection) {
        return new Run(id, submit, span, deadlineNanos, connection);
    }

    /** Returns the attempt as the admission sees it: its prompt and half of its limit. */
    WorkOffer offer() {
        double weight = Math.max(1, mSubmit.getTeamWeight()) / THOUSANDTHS;
        var work = new Work(mSubmit.getPromptTokens(), Math.max(1, mSubmit.getMaxTokens() / 2));
        return new WorkOffer(
                mId,
                team(),
                weight,
                mSubmit.getPriority(),
                mDeadlineNanos,
                work,
                mSubmit.getLeastRefusedTokens());
    }

    AttemptId id() {
        return mId;
    }

    /** Returns the frame that brought the attempt; its body is dropped when the run has ended. */
    Submit submit() {
        return mSubmit;
    }

    TeamId team() {
        return mTeam;
    }

    /** Returns what makes two requests the same one, sent again; hashed once. */
    Fingerprint fingerprint() {
        return mFingerprint;
    }

    Span span() {
        return mSpan;
    }

    long deadlineNanos() {
        return mDeadlineNanos;
    }

    /** Returns when the backend server last made progress with it. */
    long progressNanos() {
        return mProgressNanos;
    }

    void setProgressNanos(long nanos) {
        mProgressNanos = nanos;
    }

    boolean isStarted() {
        return mIsStarted;
    }

    boolean isEnded() {
        return mOutcome != null;
    }

    long endedNanos() {
        return mEndedNanos;
    }

    boolean isAttachedTo(FrameConnection connection) {
        return mConnection == connection;
    }

    boolean isAttached() {
        return mConnection != null;
    }

    void markStarted(long nowNanos) {
        mIsStarted = true;
        mProgressNanos = nowNanos;
    }

    /** Returns what the next agent must know before it gets the request; empty for nothing. */
    ByteString strikes() {
        return mStrikes;
    }

    void setStrikes(ByteString strikes) {
        mStrikes = strikes;
    }

    /** Returns the life of the backend server that runs this; null before its start. */
    AgentIncarnation server() {
        return mServer;
    }

    void setServer(AgentIncarnation server) {
        mServer = server;
    }

    /** Returns the right to run, or null when the run may be repeated. */
    KeyedRuns.Permit permit() {
        return mPermit;
    }

    void setPermit(KeyedRuns.Permit permit) {
        mPermit = permit;
    }

    /** Returns the first piece of the answer: all of it, for a plain service. */
    byte[] firstPiece() {
        return mFirstPiece;
    }

    void setHandle(Engine.Handle handle) {
        mHandle = handle;
    }

    void cancelBackend() {
        if (mHandle != null && !isEnded()) {
            mHandle.cancel();
        }
    }

    void setReading(boolean reading) {
        if (mHandle != null && !isEnded()) {
            mHandle.setReading(reading);
        }
    }

    void tellStarted(Frame started) {
        if (mConnection != null) {
            mConnection.send(started);
        }
    }

    void add(Chunk chunk) {
        if (mFirstPiece.length == 0) {
            mFirstPiece = chunk.data();
        }
        mUnsent.add(chunk);
        pump();
    }

    void grant(long bytes) {
        mCreditBytes += bytes;
        pump();
    }

    void end(Frame outcome, long nowNanos) {
        mOutcome = outcome;
        mEndedNanos = nowNanos;
        mSubmit = mSubmit.toBuilder().clearBody().build();
        mHandle = null;
        pump();
    }

    void detach() {
        mConnection = null;
        mUnsent.clear();
    }

    /** Goes on with the answer over another connection, from the chunks that it asked for. */
    void attach(FrameConnection connection, Iterable<Chunk> replay, long creditBytes) {
        mConnection = connection;
        mUnsent.clear();
        replay.forEach(mUnsent::add);
        mCreditBytes = creditBytes;
        mIsOutcomeSent = false;
        pump();
    }

    private void pump() {
        if (mConnection == null) {
            return;
        }
        while (!mUnsent.isEmpty() && mCreditBytes > 0) {
            var chunk = mUnsent.remove();
            mCreditBytes -= chunk.data().length;
            mConnection.send(AgentFrames.chunk(mId, chunk));
        }
        if (mUnsent.isEmpty() && mOutcome != null && !mIsOutcomeSent) {
            mIsOutcomeSent = true;
            mConnection.send(mOutcome);
        }
    }
}
