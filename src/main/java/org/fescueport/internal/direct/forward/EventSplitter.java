package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events.
 *
 * <p>An incomplete event is never forwarded, so that another replica can continue the stream after
 * the last complete one.
 */
final class EventSplitter {
    private static final int MAX_EVENT_BYTES = 262_144;

    private final ByteBuf mPending = Unpooled.buffer(0);
    private EventScanner mScanner = new EventScanner();
    private int mScanned;
    private Optional<String> mLastId = Optional.empty();

    /** Returns all events that these bytes complete; may be empty. Takes ownership of the bytes. */
    ByteBuf feed(ByteBuf bytes) {
        mPending.writeBytes(bytes);
        bytes.release();
        int whole = 0;
        while (mScanned < mPending.writerIndex()) {
            var end = mScanner.feed(mPending.getByte(mScanned));
            if (end != EventScanner.End.NONE) {
                mLastId = mScanner.takeEndedEvent().id().or(() -> mLastId);
                whole = end == EventScanner.End.WITH_BYTE ? mScanned + 1 : mScanned;
            }
            mScanned++;
        }
        return take(whole);
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
        mScanner = new EventScanner();
        mScanned = 0;
    }

    private ByteBuf take(int length) {
        if (length == 0) {
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf events = Unpooled.buffer(length).writeBytes(mPending, length);
        mPending.discardReadBytes();
        mScanned -= length;
        return events;
    }
}
