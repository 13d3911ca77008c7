package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events at the ends of its events.
 *
 * <p>An event that is cut off in the middle is never passed on, so that another replica can go on
 * behind the last whole one.
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

    /** Returns the whole events that are there now with these bytes; may be empty. */
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

    /** Returns whether the event that has begun is longer than any that is passed on. */
    boolean isPartialEventTooLong() {
        return mPending.readableBytes() > MAX_EVENT_BYTES;
    }

    /** Returns the id of the last whole event that had one. */
    Optional<String> lastId() {
        return mLastId;
    }

    /** Returns whether an event has begun and not ended. */
    boolean hasPartialEvent() {
        return mPending.isReadable();
    }

    /** Returns the bytes of the event that has begun, and forgets them; may be empty. */
    ByteBuf takePartial() {
        ByteBuf partial = Unpooled.copiedBuffer(mPending);
        discardPartial();
        return partial;
    }

    /** Forgets the event that has begun; the next bytes begin a new one. */
    void discardPartial() {
        mPending.clear();
        mScanned = 0;
        mLineStart = 0;
        mPendingId = Optional.empty();
    }

    /** Takes in the line that ends here; returns whether it is the empty one behind an event. */
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
