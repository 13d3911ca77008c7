package org.fescueport.internal.port;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Splits a body of server-sent events into the payloads of its {@code data} lines as bytes arrive.
 *
 * <p>Every payload is one line; other fields and comments are passed over.
 */
public final class EventStreamParser {
    /** Receives the payloads in their order. */
    @FunctionalInterface
    public interface DataHandler {
        /** Handles one payload; the array is valid during the call only. */
        void onData(byte[] bytes, int offset, int length);
    }

    private static final int FIRST_LINE_BYTES = 512;
    private static final int MAX_LINE_BYTES = 1 << 20;
    private static final byte[] DATA = {'d', 'a', 't', 'a', ':'};

    private final DataHandler mHandler;
    private byte[] mLine = new byte[FIRST_LINE_BYTES];
    private int mLength;

    private EventStreamParser(DataHandler handler) {
        mHandler = handler;
    }

    /** Returns a parser for one body. */
    public static EventStreamParser of(DataHandler handler) {
        return new EventStreamParser(handler);
    }

    /** Takes the next bytes of the body; throws when a line is longer than 1 MiB. */
    public void take(ByteBuffer bytes) {
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (next == '\n') {
                endLine();
            } else {
                append(next);
            }
        }
    }

    private void append(byte next) {
        if (mLength == mLine.length) {
            if (mLength >= MAX_LINE_BYTES) {
                throw new IllegalStateException(
                        "A line of the event stream is longer than " + MAX_LINE_BYTES + " bytes.");
            }
            mLine = Arrays.copyOf(mLine, 2 * mLength);
        }
        mLine[mLength++] = next;
    }

    private void endLine() {
        int end = mLength > 0 && mLine[mLength - 1] == '\r' ? mLength - 1 : mLength;
        mLength = 0;
        if (end < DATA.length
                || Arrays.mismatch(mLine, 0, DATA.length, DATA, 0, DATA.length) >= 0) {
            return;
        }
        int start = end > DATA.length && mLine[DATA.length] == ' ' ? DATA.length + 1 : DATA.length;
        mHandler.onData(mLine, start, end - start);
    }
}
