package org.fescueport.internal.direct.net;

import io.netty.buffer.ByteBuf;
import io.netty.util.AsciiString;
import org.fescueport.internal.http1.ChunkLines;
import org.fescueport.internal.http1.HeadLines;
import org.fescueport.internal.http1.MalformedResponseException;

/**
 * Checks the heads of one connection's responses, and the lines between the chunks of their bodies,
 * in the buffer of received bytes before Netty's decoder consumes them.
 *
 * <p>Each byte is looked at once, however the bytes are cut into packets: of an incomplete line,
 * only bytes that are new are searched for its end. Nothing is copied but one line at a time.
 */
final class ResponseScanner {
    private enum Part {
        HEAD,
        CHUNKS,
        /** A body that has no lines. */
        BODY
    }

    private Part mPart = Part.HEAD;
    private HeadLines mHead = HeadLines.create();
    private ChunkLines mChunks = ChunkLines.create();

    /** Bytes from the reader index on that are checked: complete lines, and data behind them. */
    private int mCheckedBytes;

    /** Bytes of data that are still to come before the next line. */
    private int mDataBytes;

    /** Bytes of the incomplete line behind the checked bytes, which contain no end of a line. */
    private int mSearchedBytes;

    /** Checks what has been received, up to the end of the head or of the chunks. */
    void scan(ByteBuf bytes) throws MalformedResponseException {
        while (isLineExpected()) {
            skipData(bytes);
            int start = bytes.readerIndex() + mCheckedBytes;
            int end = bytes.indexOf(start + mSearchedBytes, bytes.writerIndex(), (byte) '\n');
            if (end < 0) {
                mSearchedBytes = bytes.writerIndex() - start;
                return;
            }
            accept(line(bytes, start, end));
            mCheckedBytes += end + 1 - start;
            mSearchedBytes = 0;
        }
    }

    /**
     * The decoder has consumed bytes.
     *
     * @throws MalformedResponseException if they were not checked, so that the decoder understands
     *     the lines in another way
     */
    void onConsumed(int count) throws MalformedResponseException {
        if (mPart == Part.BODY) {
            return;
        }
        if (count > mCheckedBytes) {
            throw endInDoubt();
        }
        mCheckedBytes -= count;
    }

    /**
     * The decoder has read a complete head.
     *
     * @param isChunked whether a body in chunks follows
     */
    void onHeadDecoded(boolean isChunked) throws MalformedResponseException {
        if (mCheckedBytes > 0 || !mHead.isComplete()) {
            throw endInDoubt();
        }
        mPart = isChunked ? Part.CHUNKS : Part.BODY;
    }

    /** The decoder has read the end of a body, which may be empty; the next head follows. */
    void onMessageDecoded() throws MalformedResponseException {
        if (mPart == Part.CHUNKS && (mCheckedBytes > 0 || !mChunks.isComplete())) {
            throw endInDoubt();
        }
        mPart = Part.HEAD;
        mHead = HeadLines.create();
        mChunks = ChunkLines.create();
    }

    private boolean isLineExpected() {
        return switch (mPart) {
            case HEAD -> !mHead.isComplete();
            case CHUNKS -> !mChunks.isComplete();
            case BODY -> false;
        };
    }

    private void accept(CharSequence line) throws MalformedResponseException {
        if (mPart == Part.HEAD) {
            mHead.accept(line);
        } else {
            mDataBytes = mChunks.accept(line);
        }
    }

    private void skipData(ByteBuf bytes) {
        int skipped = Math.min(mDataBytes, bytes.readableBytes() - mCheckedBytes);
        mDataBytes -= skipped;
        mCheckedBytes += skipped;
    }

    private static MalformedResponseException endInDoubt() {
        return MalformedResponseException.of("lines of which the end cannot be told for certain");
    }

    /** Returns the line without its end, of which each byte is one character. */
    private static CharSequence line(ByteBuf bytes, int start, int end)
            throws MalformedResponseException {
        if (end == start || bytes.getByte(end - 1) != '\r') {
            throw MalformedResponseException.of("a line that does not end with CR and LF");
        }
        byte[] line = new byte[end - 1 - start];
        bytes.getBytes(start, line);
        return new AsciiString(line, false);
    }
}
