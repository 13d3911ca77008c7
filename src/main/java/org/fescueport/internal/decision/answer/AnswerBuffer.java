package org.fescueport.internal.decision.answer;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.decision.TeamId;

/**
 * Buffers answers at an agent, so that a router can resume an answer that another router began to
 * deliver.
 *
 * <p>A chunk is kept until its answer expires, or until the chunk has been acknowledged and its
 * space is needed. Unacknowledged chunks are never evicted early; instead, {@link #isFull} tells
 * the reader of the backend server's stream to pause.
 *
 * <pre>{@code
 * buffer.open(attempt, team, firstChunk);
 * if (!buffer.isFull(attempt)) send(buffer.append(attempt, data));
 * buffer.acknowledge(attempt, number);
 * buffer.end(attempt, now);
 * }</pre>
 */
public final class AnswerBuffer {
    /**
     * Limits of the buffer.
     *
     * @param bytesPerAnswer size of one answer, in bytes, at which its reader must pause
     * @param totalBytes size of all answers together, in bytes, at which every reader must pause
     * @param answers maximum number of answers that are buffered at the same time
     * @param retentionNanos time in nanoseconds for which an answer is kept after it has ended or
     *     after its router disconnected
     */
    public record Limits(long bytesPerAnswer, long totalBytes, int answers, long retentionNanos) {}

    private static final class Answer {
        private final AttemptId mAttempt;
        private final TeamId mTeam;
        private final ArrayDeque<Chunk> mChunks = new ArrayDeque<>();
        private int mNextChunk;
        private int mAcknowledgedBelow;
        private long mBytes;
        private boolean mEnded;
        private long mExpiringSinceNanos;

        private Answer(AttemptId attempt, TeamId team, int firstChunk) {
            mAttempt = attempt;
            mTeam = team;
            mNextChunk = firstChunk;
            mAcknowledgedBelow = firstChunk;
        }

        private boolean isFirstAcknowledged() {
            return !mChunks.isEmpty() && mChunks.peekFirst().number() < mAcknowledgedBelow;
        }

        private int firstKept() {
            return mChunks.isEmpty() ? mNextChunk : mChunks.peekFirst().number();
        }
    }

    private final Limits mLimits;
    private final Map<RequestId, Answer> mAnswers = new LinkedHashMap<>();

    /** Answers that have ended or have no router, in the order in which they expire. */
    private final Set<Answer> mExpiring = new LinkedHashSet<>();

    private long mBytes;
    private long mStaleFrames;

    private AnswerBuffer(Limits limits) {
        mLimits = limits;
    }

    /** Returns an empty buffer. */
    public static AnswerBuffer create(Limits limits) {
        return new AnswerBuffer(limits);
    }

    /**
     * Starts buffering the answer of an attempt and drops the answer of an older attempt at the
     * same request. Returns false if the maximum number of answers is reached, or if an answer of
     * the same or a newer attempt is already buffered.
     *
     * @param firstChunk number of the attempt's first chunk, which follows the last delivered chunk
     */
    public synchronized boolean open(AttemptId attempt, TeamId team, int firstChunk) {
        Answer known = mAnswers.get(attempt.request());
        if (known != null && known.mAttempt.number() >= attempt.number()) {
            mStaleFrames++;
            return false;
        }
        if (known == null && mAnswers.size() >= mLimits.answers()) {
            return false;
        }
        drop(known);
        mAnswers.put(attempt.request(), new Answer(attempt, team, firstChunk));
        return true;
    }

    /**
     * Buffers the next chunk of the answer and returns it with its number. Returns null if the
     * attempt's answer is not buffered, for example because a newer attempt has replaced it; the
     * data is then dropped and counted as a stale frame.
     */
    public synchronized Chunk append(AttemptId attempt, byte[] data) {
        Answer answer = current(attempt);
        if (answer == null) {
            return null;
        }
        Invariants.check(
                !answer.mEnded, "attempt %s goes on producing chunks after its end", attempt);
        evictAcknowledged(answer, data.length);
        Chunk chunk = new Chunk(answer.mNextChunk++, data);
        answer.mChunks.addLast(chunk);
        answer.mBytes += data.length;
        mBytes += data.length;
        return chunk;
    }

    /**
     * Returns whether the reader of the backend server's stream must pause, because the buffer is
     * full or no longer holds the attempt's answer.
     */
    public synchronized boolean isFull(AttemptId attempt) {
        Answer answer = current(attempt);
        if (answer == null) {
            return true;
        }
        evictAcknowledged(answer, 1);
        return answer.mBytes >= mLimits.bytesPerAnswer() || mBytes >= mLimits.totalBytes();
    }

    /**
     * Records that the caller has received all chunks up to and including this number, so that they
     * may be evicted.
     */
    public synchronized void acknowledge(AttemptId attempt, int number) {
        Answer answer = current(attempt);
        if (answer != null) {
            Invariants.check(
                    number < answer.mNextChunk,
                    "chunk %d of attempt %s was acknowledged but does not exist",
                    number,
                    attempt);
            answer.mAcknowledgedBelow = Math.max(answer.mAcknowledgedBelow, number + 1);
        }
    }

    /** Records that the answer has ended, complete or not; it expires after the retention time. */
    public synchronized void end(AttemptId attempt, long nowNanos) {
        Answer answer = current(attempt);
        if (answer != null) {
            answer.mEnded = true;
            startExpiry(answer, nowNanos);
        }
    }

    /**
     * Records that the router's connection was lost. The answer expires after the retention time
     * unless another router resumes it.
     */
    public synchronized void detach(AttemptId attempt, long nowNanos) {
        Answer answer = current(attempt);
        if (answer != null) {
            startExpiry(answer, nowNanos);
        }
    }

    /**
     * Returns the buffered chunks, starting with chunk {@code fromChunk}. Only the team that owns
     * the answer gets them. A router that may have to continue the answer on another backend server
     * requests all chunks, starting with the first.
     */
    public synchronized Replay resume(AttemptId attempt, TeamId team, int fromChunk) {
        Answer answer = mAnswers.get(attempt.request());
        if (answer == null || !answer.mAttempt.equals(attempt) || !answer.mTeam.equals(team)) {
            return new Replay.NotFound();
        }
        if (fromChunk < answer.firstKept()) {
            return new Replay.Trimmed(answer.firstKept());
        }
        if (!answer.mEnded) {
            mExpiring.remove(answer);
        }
        List<Chunk> chunks = answer.mChunks.stream().filter(c -> c.number() >= fromChunk).toList();
        return new Replay.Available(chunks, answer.mEnded);
    }

    /**
     * Drops the answers whose retention time has passed. Returns the attempts whose answers had not
     * ended; the caller must cancel their streams.
     */
    public synchronized List<AttemptId> expire(long nowNanos) {
        List<AttemptId> abandoned = new ArrayList<>();
        Iterator<Answer> answers = mExpiring.iterator();
        while (answers.hasNext()) {
            Answer answer = answers.next();
            if (nowNanos - answer.mExpiringSinceNanos < mLimits.retentionNanos()) {
                break;
            }
            answers.remove();
            mAnswers.remove(answer.mAttempt.request());
            mBytes -= answer.mBytes;
            if (!answer.mEnded) {
                abandoned.add(answer.mAttempt);
            }
        }
        return abandoned;
    }

    /** Drops an answer immediately, because its caller disconnected or has received all of it. */
    public synchronized void discard(AttemptId attempt) {
        Answer answer = current(attempt);
        if (answer != null) {
            drop(answer);
            mAnswers.remove(attempt.request());
        }
    }

    /** Returns the size of all buffered chunks in bytes. */
    public synchronized long bytes() {
        return mBytes;
    }

    /** Returns how many frames were dropped because their attempt is not buffered. */
    public synchronized long staleFrames() {
        return mStaleFrames;
    }

    private void startExpiry(Answer answer, long nowNanos) {
        answer.mExpiringSinceNanos = nowNanos;
        mExpiring.remove(answer);
        mExpiring.add(answer);
    }

    private Answer current(AttemptId attempt) {
        Answer answer = mAnswers.get(attempt.request());
        if (answer == null || !answer.mAttempt.equals(attempt)) {
            mStaleFrames++;
            return null;
        }
        return answer;
    }

    private void evictAcknowledged(Answer answer, int length) {
        while (answer.mBytes + length > mLimits.bytesPerAnswer() && answer.isFirstAcknowledged()) {
            dropFirst(answer);
        }
        if (mBytes + length <= mLimits.totalBytes()) {
            return;
        }
        for (Answer other : mAnswers.values()) {
            while (mBytes + length > mLimits.totalBytes() && other.isFirstAcknowledged()) {
                dropFirst(other);
            }
        }
    }

    private void dropFirst(Answer answer) {
        int length = answer.mChunks.removeFirst().data().length;
        answer.mBytes -= length;
        mBytes -= length;
    }

    private void drop(Answer answer) {
        if (answer != null) {
            mExpiring.remove(answer);
            mBytes -= answer.mBytes;
            answer.mChunks.clear();
            answer.mBytes = 0;
        }
    }
}
