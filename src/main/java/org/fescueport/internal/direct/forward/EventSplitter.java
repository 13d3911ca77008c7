package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Optional;

/**
 * Splits a stream of server-sent events into complete events.
 *
 * <p>An incomplete event is never forwarded, so that another replica can continue the stream after
 * the last complete one. Its events must follow those that have been forwarded; from the first that
 * does not, nothing is returned.
 */
final class EventSplitter {
    private static final int MAX_EVENT_BYTES = 262_144;

    /** The UTF-8 byte order mark, which may stand only at the start of a whole stream. */
    private static final int BYTE_ORDER_MARK = 0xEFBBBF;

    private static final int BYTE_ORDER_MARK_BYTES = 3;

    private final ByteBuf mPending = Unpooled.buffer(0);
    private final EventSequence mSequence = new EventSequence();
    private EventScanner mScanner = new EventScanner();
    private int mScanned;
    private boolean mForwarded;
    private boolean mResumed;

    /** Whether nothing that this replica sent has been returned. */
    private boolean mAtStart = true;

    /** Whether this replica has sent an event that follows, or any event follows. */
    private boolean mConnected = true;

    private boolean mOutOfSequence;

    /** Called before the first bytes of each replica. */
    void beginRun() {
        discardPartial();
        mResumed = mForwarded;
        mAtStart = true;
        mConnected = mSequence.isEmpty();
        mOutOfSequence = false;
    }

    /** Returns all events that these bytes complete; may be empty. Takes ownership of the bytes. */
    ByteBuf feed(ByteBuf bytes) {
        mPending.writeBytes(bytes);
        bytes.release();
        int whole = 0;
        while (mScanned < mPending.writerIndex() && !mOutOfSequence) {
            var end = mScanner.feed(mPending.getByte(mScanned));
            if (end != EventScanner.End.NONE && accept(mScanner.takeEndedEvent())) {
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

    /** Returns whether this replica has sent an event that does not follow the last one. */
    boolean isOutOfSequence() {
        return mOutOfSequence;
    }

    /** Returns whether this replica continues what another one began. */
    boolean isResumed() {
        return mResumed;
    }

    /** Returns whether another replica can continue after the events that have been returned. */
    boolean canResume() {
        return mSequence.canResume();
    }

    /** Returns the id of the last complete event that had one. */
    Optional<String> lastId() {
        return mSequence.lastId();
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

    /** Records an event, unless it does not follow those that another replica has sent. */
    private boolean accept(EventScanner.Event event) {
        boolean unnumbered = event.id().isEmpty() && (mConnected || !event.hasData());
        if (mResumed && !unnumbered && !mSequence.mayFollow(event)) {
            mOutOfSequence = true;
            return false;
        }
        mConnected |= event.id().isPresent();
        mSequence.add(event);
        return true;
    }

    private ByteBuf take(int length) {
        if (length == 0) {
            return Unpooled.EMPTY_BUFFER;
        }
        if (mResumed && mAtStart && startsWithByteOrderMark()) {
            mPending.skipBytes(BYTE_ORDER_MARK_BYTES);
        }
        mAtStart = false;
        ByteBuf events =
                Unpooled.buffer(length).writeBytes(mPending, length - mPending.readerIndex());
        mPending.discardReadBytes();
        mScanned -= length;
        mForwarded = true;
        return events;
    }

    private boolean startsWithByteOrderMark() {
        return mPending.readableBytes() >= BYTE_ORDER_MARK_BYTES
                && mPending.getUnsignedMedium(mPending.readerIndex()) == BYTE_ORDER_MARK;
    }
}
