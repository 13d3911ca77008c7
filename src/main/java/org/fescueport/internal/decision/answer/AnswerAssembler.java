package org.fescueport.internal.decision.answer;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.RequestId;

/**
 * One whole answer at a router, out of the chunks of one or more attempts.
 *
 * <p>Chunks are numbered through over all attempts, from 1, and the number is the id of the
 * server-sent event. A new attempt continues after the text that has been delivered.
 *
 * <pre>{@code
 * AnswerAssembler answer = AnswerAssembler.start(request, MAX_TEXT_BYTES);
 * answer.attempt(first);
 * if (answer.accept(first, number, data) instanceof Delivery.Event event) write(event);
 * // the agent is lost
 * submit(second, answer.text(), answer.nextChunk());
 * answer.attempt(second);
 * }</pre>
 */
public final class AnswerAssembler {
    /** Number of an answer's first chunk. */
    public static final int FIRST_CHUNK = 1;

    private final RequestId mRequest;
    private final int mMaxTextBytes;
    private final int mDeliverFrom;
    private final ByteArrayOutputStream mText = new ByteArrayOutputStream();
    private int mAttempt;
    private int mNextChunk;
    private boolean mHasWholeText;
    private long mStaleFrames;

    private AnswerAssembler(RequestId request, int maxTextBytes, int next, int deliverFrom) {
        mRequest = request;
        mMaxTextBytes = maxTextBytes;
        mNextChunk = next;
        mDeliverFrom = deliverFrom;
        mHasWholeText = next == FIRST_CHUNK;
    }

    /** Returns the assembler of an answer of which nothing was delivered. */
    public static AnswerAssembler start(RequestId request, int maxTextBytes) {
        return new AnswerAssembler(request, maxTextBytes, FIRST_CHUNK, FIRST_CHUNK);
    }

    /**
     * Returns the assembler of an answer that another router began.
     *
     * @param fromChunk chunk from which the agent replays; {@link #FIRST_CHUNK} rebuilds the text,
     *     so that the answer can still be continued on another backend server
     * @param lastEventId the last event that the caller has
     */
    public static AnswerAssembler resume(
            RequestId request, int maxTextBytes, int fromChunk, int lastEventId) {
        return new AnswerAssembler(request, maxTextBytes, fromChunk, lastEventId + 1);
    }

    /** Begins an attempt: from now on chunks of older ones are dropped. */
    public synchronized void attempt(AttemptId attempt) {
        checkBelongsToRequest(attempt);
        Invariants.check(
                attempt.number() > mAttempt,
                "attempt %s begins after attempt %d",
                attempt,
                mAttempt);
        mAttempt = attempt.number();
    }

    /** Takes the next chunk of an attempt and tells what to do with it. */
    public synchronized Delivery accept(AttemptId attempt, int number, byte[] data) {
        checkBelongsToRequest(attempt);
        if (attempt.number() != mAttempt) {
            mStaleFrames++;
            return new Delivery.Stale();
        }
        if (number < mNextChunk) {
            return new Delivery.AlreadyDelivered();
        }
        if (number > mNextChunk) {
            return new Delivery.Gap(mNextChunk);
        }
        if (mText.size() + data.length > mMaxTextBytes) {
            return new Delivery.TooLarge();
        }
        mText.writeBytes(data);
        mNextChunk++;
        return number < mDeliverFrom
                ? new Delivery.AlreadyDelivered()
                : new Delivery.Event(number, data);
    }

    /** Returns whether another attempt can continue after {@link #text}. */
    public synchronized boolean canContinueElsewhere() {
        return mHasWholeText && mNextChunk >= mDeliverFrom;
    }

    /** Returns the text that was taken so far, whole only if {@link #canContinueElsewhere}. */
    public synchronized String text() {
        return mText.toString(StandardCharsets.UTF_8);
    }

    /** Returns the number that the next chunk must have; it acknowledges all below. */
    public synchronized int nextChunk() {
        return mNextChunk;
    }

    /** Returns how many chunks of older attempts were dropped. */
    public synchronized long staleFrames() {
        return mStaleFrames;
    }

    private void checkBelongsToRequest(AttemptId attempt) {
        Invariants.check(
                attempt.request().equals(mRequest),
                "a frame of attempt %s reached the answer of request %s",
                attempt,
                mRequest);
    }
}
