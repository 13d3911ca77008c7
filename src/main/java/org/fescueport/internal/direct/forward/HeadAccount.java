package org.fescueport.internal.direct.forward;

import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * What the head of one connection's request costs in memory, which many short lines make a multiple
 * of its size. The memory is reserved while the head is read, and released when its request has
 * ended; a connection has one such request at a time.
 *
 * <p>Must be called on the event loop only.
 */
final class HeadAccount {
    /** A name and a value with their text, their entry, and that of the copy that is forwarded. */
    static final int LINE_BYTES = 200;

    /** One part of a prompt, as it is kept while its request is processed. */
    static final int PROMPT_PART_BYTES = 120;

    /** Size on the wire of the shortest line: a name, a colon and the end of the line. */
    private static final int SHORTEST_LINE = 4;

    /** Memory is reserved in steps; an ordinary head needs one. */
    private static final int STEP_BYTES = 4_096;

    /** Up to this length the line buffer of a connection is not counted. */
    private static final int SHORT_LINE = 4_096;

    /** Thrown where the heads of all callers leave no room for this one. */
    static final class NoRoomException extends DecoderException {
        private static final long serialVersionUID = 1L;

        private NoRoomException() {
            super("the headers of all callers take too much memory");
        }

        @Override
        public synchronized Throwable fillInStackTrace() {
            return this;
        }
    }

    private final CallerQuota mQuota;
    private final int mMaxLines;
    private int mLines;
    private long mBytes;
    private long mReserved;
    private long mUnread;
    private long mLineBuffer;

    HeadAccount(CallerQuota quota, int maxHeaderBytes) {
        mQuota = quota;
        mMaxLines = maxHeaderBytes / SHORTEST_LINE;
    }

    /**
     * Adds a line of the head. The decoder keeps a buffer as large as the longest line that it has
     * read, for as long as the connection is open.
     *
     * @param length of the name and the value together
     * @throws TooLongHttpHeaderException if there are more lines than fit into the largest head
     * @throws NoRoomException if no memory is left for it
     */
    void addLine(int length) {
        mLines++;
        if (mLines > mMaxLines) {
            throw new TooLongHttpHeaderException("more than " + mMaxLines + " header lines");
        }
        if (!tryAdd(LINE_BYTES + length) || !tryHoldLineBuffer(length)) {
            throw new NoRoomException();
        }
    }

    /** Adds parts of the prompt that the head describes; returns false if no memory is left. */
    boolean tryAddPromptParts(int parts) {
        return tryAdd((long) parts * PROMPT_PART_BYTES);
    }

    /**
     * Sets how much memory is held by bytes that are not decoded yet; returns false if no memory is
     * left for it.
     */
    boolean tryHoldUnread(int bytes) {
        long more = bytes - mUnread;
        if (more > 0 && !mQuota.tryReserveHead(more, mReserved + bytes)) {
            return false;
        }
        if (more < 0) {
            mQuota.releaseHead(-more);
        }
        mUnread = bytes;
        return true;
    }

    /** Returns whether the connection keeps a large buffer while memory for heads is short. */
    boolean isWorthClosing() {
        return mLineBuffer > 0 && mQuota.isHeadRoomShort();
    }

    /** Releases all that the connection has reserved, as it is closed. */
    void close() {
        release();
        mQuota.releaseHead(mUnread + mLineBuffer);
        mUnread = 0;
        mLineBuffer = 0;
    }

    /** Releases what the request has reserved; bytes behind it stay counted. */
    void release() {
        mQuota.releaseHead(mReserved);
        mReserved = 0;
        mBytes = 0;
        mLines = 0;
    }

    private boolean tryHoldLineBuffer(int length) {
        if (length <= SHORT_LINE || length <= mLineBuffer) {
            return true;
        }
        long size = Long.highestOneBit(length - 1L) * 2;
        if (!mQuota.tryReserveHead(size - mLineBuffer, mReserved + size)) {
            return false;
        }
        mLineBuffer = size;
        return true;
    }

    private boolean tryAdd(long bytes) {
        mBytes += bytes;
        if (mBytes <= mReserved) {
            return true;
        }
        long step = Math.ceilDiv(mBytes - mReserved, STEP_BYTES) * STEP_BYTES;
        if (!mQuota.tryReserveHead(step, mReserved + step)) {
            return false;
        }
        mReserved += step;
        return true;
    }
}
