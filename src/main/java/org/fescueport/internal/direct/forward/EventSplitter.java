package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events.
 *
 * <p>An incomplete event is never forwarded, so that another replica can continue the stream after
 * the last complete one.
 */
final class EventSplitter {
    private static final int MAX_EVENT_BYTES = 262_144;
    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';
    private static final String ID_FIELD = "id:";

    private final ByteBuf mPending = Unpooled.buffer(0);
    private int mScanned;
    private int mLineStart;
    private Optional<String> mPendingId = Optional.empty();
    private Optional<String> mLastId = Optional.empty();

    /** Returns all events that these bytes complete; may be empty. Takes ownership of the bytes. */
    ByteBuf feed(ByteBuf bytes) {
        mPending.writeBytes(bytes);
        bytes.release();
        int whole = 0;
        for (; mScanned < mPending.writerIndex(); mScanned++) {
            if (mPending.getByte(mScanned) == LINE_FEED && endsEvent(mScanned)) {
                whole = mScanned + 1;
            }
        }
        if (whole == 0) {
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf events = Unpooled.buffer(whole).writeBytes(mPending, whole);
        mPending.discardReadBytes();
        mScanned -= whole;
        mLineStart -= whole;
        return events;
    }

    /** Returns whether the incomplete event exceeds the largest size that is forwarded. */
    boolean isPartialEventTooLong() {
        return mPending.readableBytes() > MAX_EVENT_BYTES;
    }

    /** Returns the id of the last complete event that had one. */
    Optional<String> lastId() {
        return mLastId;
    }

    /** Returns whether there is an incomplete event. */
    boolean hasPartialEvent() {
        return mPending.isReadable();
    }

    /** Removes the bytes of the incomplete event and returns them; may be empty. */
    ByteBuf takePartial() {
        ByteBuf partial = Unpooled.copiedBuffer(mPending);
        discardPartial();
        return partial;
    }

    /** Discards the incomplete event; the next bytes begin a new one. */
    void discardPartial() {
        mPending.clear();
        mScanned = 0;
        mLineStart = 0;
        mPendingId = Optional.empty();
    }

    /**
     * Processes the line that ends here; returns whether it is the empty line that ends an event.
     */
    private boolean endsEvent(int lineFeed) {
        int end = lineFeed;
        if (end > mLineStart && mPending.getByte(end - 1) == CARRIAGE_RETURN) {
            end--;
        }
        int length = end - mLineStart;
        String line = mPending.toString(mLineStart, length, StandardCharsets.UTF_8);
        mLineStart = lineFeed + 1;
        if (line.startsWith(ID_FIELD)) {
            mPendingId = Optional.of(line.substring(ID_FIELD.length()).strip());
        }
        if (length > 0) {
            return false;
        }
        mLastId = mPendingId.or(() -> mLastId);
        mPendingId = Optional.empty();
        return true;
    }
}
