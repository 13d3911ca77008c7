package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import io.netty.util.AsciiString;
import org.fescueport.internal.http1.HeadLines;
import org.fescueport.internal.http1.MalformedResponseException;

/**
 * Checks the heads of one connection's responses in the buffer of received bytes, before Netty's
 * decoder consumes them.
 *
 * <p>Each byte is looked at once, however the bytes are cut into packets: of an incomplete line,
 * only bytes that are new are searched for its end. Nothing is copied but one line at a time.
 */
final class ResponseScanner {
    private HeadLines mHead = HeadLines.create();

    /** Bytes from the reader index on that are part of complete lines. */
    private int mCheckedBytes;

    /** Bytes of the incomplete line behind them, which contain no end of a line. */
    private int mSearchedBytes;

    /** Whether a head is being received; otherwise a body, which is not looked at. */
    private boolean mIsInHead = true;

    /** Checks what has been received of a head. */
    void scan(ByteBuf bytes) throws MalformedResponseException {
        while (mIsInHead && !mHead.isComplete()) {
            int start = bytes.readerIndex() + mCheckedBytes;
            int end = bytes.indexOf(start + mSearchedBytes, bytes.writerIndex(), (byte) '\n');
            if (end < 0) {
                mSearchedBytes = bytes.writerIndex() - start;
                return;
            }
            mHead.accept(line(bytes, start, end));
            mCheckedBytes += end + 1 - start;
            mSearchedBytes = 0;
        }
    }

    /**
     * The decoder has consumed bytes.
     *
     * @throws MalformedResponseException if they were not checked, so that the decoder takes for
     *     part of a head what is none
     */
    void onConsumed(int count) throws MalformedResponseException {
        if (!mIsInHead) {
            return;
        }
        if (count > mCheckedBytes) {
            throw MalformedResponseException.of("a head whose end cannot be told for certain");
        }
        mCheckedBytes -= count;
    }

    /** The decoder has read a complete head; a body follows. */
    void onHeadDecoded() throws MalformedResponseException {
        if (mCheckedBytes > 0 || !mHead.isComplete()) {
            throw MalformedResponseException.of("a head whose end cannot be told for certain");
        }
        mIsInHead = false;
    }

    /** The decoder has read the end of a body, which may be empty; the next head follows. */
    void onMessageDecoded() {
        mHead = HeadLines.create();
        mIsInHead = true;
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
