package org.fescueport.internal.direct.forward;

import io.netty.buffer.ByteBuf;
import java.util.Optional;

/**
 * Finds the ends of events in a stream of server-sent events, byte by byte.
 *
 * <p>Lines end with LF, CR or both. An event ends with the empty line; what precedes the next empty
 * line, comments included, counts as an incomplete event.
 */
final class EventScanner {
    /** Bytes of a line that are kept; the ids that matter are shorter. */
    private static final int MAX_KEPT_BYTES = 64;

    private static final byte LINE_FEED = '\n';
    private static final byte CARRIAGE_RETURN = '\r';

    /** The UTF-8 byte order mark, one character for each byte. */
    private static final String BYTE_ORDER_MARK = "\u00EF\u00BB\u00BF";

    /** Where an event ended, if it did, in relation to the byte that has been processed. */
    enum End {
        /** No event ended. */
        NONE,
        /** An event ended with this byte. */
        WITH_BYTE,
        /** An event ended with the CR before this byte; no further event ended with this byte. */
        BEFORE_BYTE
    }

    /**
     * An event that has ended.
     *
     * @param hasData whether it has a data field, without which it is not dispatched
     * @param id value of its id field, possibly truncated
     */
    record Event(boolean hasData, Optional<String> id) {
        private static final Event EMPTY = new Event(false, Optional.empty());
    }

    private final StringBuilder mLine = new StringBuilder();
    private boolean mFirstLine = true;

    /** Whether the last byte was a CR, which an LF may follow. */
    private boolean mAfterCarriageReturn;

    /** Whether a CR without LF has ended a line, so that the next CR may end one as well. */
    private boolean mLoneCarriageReturns;

    private boolean mInsideEvent;
    private Event mCurrent = Event.EMPTY;
    private Event mEnded = Event.EMPTY;

    /** Processes all readable bytes without consuming them. */
    void feed(ByteBuf bytes) {
        bytes.forEachByte(
                value -> {
                    feed(value);
                    return true;
                });
    }

    /** Processes a byte and returns whether an event ended. */
    End feed(byte value) {
        boolean afterCarriageReturn = mAfterCarriageReturn;
        mAfterCarriageReturn = value == CARRIAGE_RETURN;
        if (afterCarriageReturn && mLoneCarriageReturns) {
            // The CR has ended its line already; the LF belongs to it.
            return value == LINE_FEED ? endOfPreviousEvent() : feedInLine(value);
        }
        if (afterCarriageReturn && value != LINE_FEED) {
            mLoneCarriageReturns = true;
            boolean ended = endLine();
            End end = feedInLine(value);
            return ended && end == End.NONE ? End.BEFORE_BYTE : end;
        }
        return feedInLine(value);
    }

    /** Returns the event that has just ended; it has no fields if only an empty line has ended. */
    Event takeEndedEvent() {
        Event ended = mEnded;
        mEnded = Event.EMPTY;
        return ended;
    }

    /** Returns whether an event has begun and not ended. */
    boolean isInsideEvent() {
        boolean betweenCarriageReturnAndLineFeed = mAfterCarriageReturn && !mLoneCarriageReturns;
        return mInsideEvent || !mLine.isEmpty() || betweenCarriageReturnAndLineFeed;
    }

    private End endOfPreviousEvent() {
        return isInsideEvent() ? End.NONE : End.WITH_BYTE;
    }

    private End feedInLine(byte value) {
        boolean ends = value == LINE_FEED || (value == CARRIAGE_RETURN && mLoneCarriageReturns);
        if (ends) {
            return endLine() ? End.WITH_BYTE : End.NONE;
        }
        if (value != CARRIAGE_RETURN && mLine.length() < MAX_KEPT_BYTES) {
            mLine.append((char) (value & 0xff));
        }
        return End.NONE;
    }

    /**
     * Processes the line that has ended; returns whether it is the empty one that ends an event.
     */
    private boolean endLine() {
        String line = mLine.toString();
        mLine.setLength(0);
        if (mFirstLine && line.startsWith(BYTE_ORDER_MARK)) {
            line = line.substring(BYTE_ORDER_MARK.length());
        }
        mFirstLine = false;
        if (!line.isEmpty()) {
            mInsideEvent = true;
            readField(line);
            return false;
        }
        if (mInsideEvent) {
            mEnded = mCurrent;
            mCurrent = Event.EMPTY;
            mInsideEvent = false;
        }
        return true;
    }

    private void readField(String line) {
        int colon = line.indexOf(':');
        String name = colon < 0 ? line : line.substring(0, colon);
        String value = colon < 0 ? "" : line.substring(colon + 1).strip();
        mCurrent =
                switch (name) {
                    case "data" -> new Event(true, mCurrent.id());
                    case "id" -> new Event(mCurrent.hasData(), Optional.of(value));
                    default -> mCurrent;
                };
    }
}
