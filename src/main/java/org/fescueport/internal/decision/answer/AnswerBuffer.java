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
 * The answers that an agent keeps, so that a router can go on with one that another router began.
 *
 * <p>A chunk is kept until its answer's time is over, or until it was acknowledged and its room is
 * needed. What is not acknowledged is never dropped early: {@link #isFull} tells the reader of the
 * backend server's stream to stop instead.
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
     * Bounds of the memory.
     *
     * @param bytesPerAnswer bytes of one answer above which its reader is told to stop
     * @param totalBytes bytes of all answers above which all readers are told to stop
     * @param answers answers kept at once
     * @param retentionNanos time for which an answer is kept after its end, or without a router
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

    /** Answers that end by time, the longest unattended first. */
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
     * Begins to keep an attempt's answer; the answer of an older attempt at the request is dropped.
     * Returns false when too many answers are kept or the attempt is older than the kept one.
     *
     * @param firstChunk number of the attempt's first chunk: one after the last that was delivered
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
     * Keeps the next part of the answer and returns it with its number; null when the attempt is
     * not the newest one that is kept, in which case the part is dropped and counted.
     */
    public synchronized Chunk append(AttemptId attempt, byte[] data) {
        Answer answer = current(attempt);
        if (answer == null) {
            return null;
        }
        Invariants.check(!answer.mEnded, "attempt %s goes on after its end", attempt);
        evictAcknowledged(answer, data.length);
        Chunk chunk = new Chunk(answer.mNextChunk++, data);
        answer.mChunks.addLast(chunk);
        answer.mBytes += data.length;
        mBytes += data.length;
        return chunk;
    }

    /** Returns whether the backend server's stream must not be read on for now. */
    public synchronized boolean isFull(AttemptId attempt) {
        Answer answer = current(attempt);
        if (answer == null) {
            return true;
        }
        evictAcknowledged(answer, 1);
        return answer.mBytes >= mLimits.bytesPerAnswer() || mBytes >= mLimits.totalBytes();
    }

    /** Notes that the caller has all chunks up to this number; their room may be used again. */
    public synchronized void acknowledge(AttemptId attempt, int number) {
        Answer answer = current(attempt);
        if (answer != null) {
            Invariants.check(
                    number < answer.mNextChunk,
                    "chunk %d of attempt %s is acknowledged and was not made",
                    number,
                    attempt);
            answer.mAcknowledgedBelow = Math.max(answer.mAcknowledgedBelow, number + 1);
        }
    }

    /** Notes that the answer is whole, or that no more of it will come. */
    public synchronized void end(AttemptId attempt, long nowNanos) {
        Answer answer = current(attempt);
        if (answer != null) {
            answer.mEnded = true;
            startExpiry(answer, nowNanos);
        }
    }

    /** Notes that the router's connection was lost; the answer waits for another router. */
    public synchronized void detach(AttemptId attempt, long nowNanos) {
        Answer answer = current(attempt);
        if (answer != null) {
            startExpiry(answer, nowNanos);
        }
    }

    /**
     * Returns the kept chunks from this number on, for the answer's own team only. A router that
     * may have to continue the answer elsewhere asks from the first chunk.
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
     * Drops the answers whose time is over and returns those that had not ended: their streams are
     * to be cancelled.
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

    /** Forgets an answer at once: its caller went away or has it whole. */
    public synchronized void discard(AttemptId attempt) {
        Answer answer = current(attempt);
        if (answer != null) {
            drop(answer);
            mAnswers.remove(attempt.request());
        }
    }

    /** Returns the bytes of all kept chunks. */
    public synchronized long bytes() {
        return mBytes;
    }

    /** Returns how many frames of older attempts were dropped. */
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
