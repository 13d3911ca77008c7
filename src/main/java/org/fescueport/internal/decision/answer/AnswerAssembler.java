package org.fescueport.internal.decision.answer;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.RequestId;

/**
 * Assembles one answer at a router from the chunks of one or more attempts.
 *
 * <p>Chunks are numbered consecutively across all attempts, starting at 1. The number is also the
 * id of the server-sent event. A new attempt continues after the text that the router has already
 * received.
 *
 * <pre>{@code
 * AnswerAssembler answer = AnswerAssembler.start(request, MAX_TEXT_BYTES);
 * answer.attempt(first);
 * if (answer.accept(first, number, data) instanceof Delivery.Event event) write(event);
 * // the connection to the agent is lost
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

    /**
     * Returns an assembler for a new answer, of which nothing has been delivered.
     *
     * @param maxTextBytes maximum size of the answer in bytes
     */
    public static AnswerAssembler start(RequestId request, int maxTextBytes) {
        return new AnswerAssembler(request, maxTextBytes, FIRST_CHUNK, FIRST_CHUNK);
    }

    /**
     * Returns an assembler for an answer that another router began to deliver.
     *
     * @param maxTextBytes maximum size of the answer in bytes, counted from {@code fromChunk}
     * @param fromChunk number of the first chunk that the agent replays; {@link #FIRST_CHUNK}
     *     rebuilds the whole text, so that the answer can be continued on another backend server
     * @param lastEventId id of the last event that the caller has received
     */
    public static AnswerAssembler resume(
            RequestId request, int maxTextBytes, int fromChunk, int lastEventId) {
        return new AnswerAssembler(request, maxTextBytes, fromChunk, lastEventId + 1);
    }

    /** Begins an attempt; chunks of older attempts are dropped from now on. */
    public synchronized void attempt(AttemptId attempt) {
        checkBelongsToRequest(attempt);
        Invariants.check(
                attempt.number() > mAttempt,
                "attempt %s began after attempt %d",
                attempt,
                mAttempt);
        mAttempt = attempt.number();
    }

    /** Adds a chunk of an attempt and returns what the router must do with it. */
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

    /**
     * Returns whether another attempt can continue the answer after {@link #text}. This requires
     * the whole text, at least up to the last event that the caller has received.
     */
    public synchronized boolean canContinueElsewhere() {
        return mHasWholeText && mNextChunk >= mDeliverFrom;
    }

    /**
     * Returns the text received so far. It is complete only if {@link #canContinueElsewhere}
     * returns true.
     */
    public synchronized String text() {
        return mText.toString(StandardCharsets.UTF_8);
    }

    /** Returns the number that the next chunk must have; all lower chunks have been received. */
    public synchronized int nextChunk() {
        return mNextChunk;
    }

    /** Returns how many chunks were dropped because they belong to another attempt. */
    public synchronized long staleFrames() {
        return mStaleFrames;
    }

    private void checkBelongsToRequest(AttemptId attempt) {
        Invariants.check(
                attempt.request().equals(mRequest),
                "attempt %s does not belong to request %s",
                attempt,
                mRequest);
    }
}
