package org.fescueport.internal.direct.forward;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * The ids of the events that have been forwarded to a caller, from which follows where the stream
 * can be resumed and which event may come next.
 *
 * <p>Ids are whole numbers that increase. If they have increased by one each time, the next event
 * must do so too; else a greater id is accepted.
 */
final class EventSequence {
    /** Numbers that a {@code long} holds. */
    private static final Pattern WHOLE_NUMBER = Pattern.compile("\\d{1,18}");

    private OptionalLong mLast = OptionalLong.empty();
    private boolean mEmpty = true;
    private boolean mCountsByOne = true;

    /** Whether the newest event is the one with the last id, so that nothing lies behind it. */
    private boolean mNewestIsLast;

    /** Records an event that has been forwarded. */
    void add(EventScanner.Event event) {
        if (!event.hasData() && event.id().isEmpty()) {
            return;
        }
        mEmpty = false;
        OptionalLong number = number(event);
        mNewestIsLast = number.isPresent() && isAfterLast(number.getAsLong());
        if (mNewestIsLast) {
            mCountsByOne = mCountsByOne && isNextOrFirst(number.getAsLong());
            mLast = number;
        }
    }

    /** Returns whether this event may follow those that have been forwarded. */
    boolean mayFollow(EventScanner.Event event) {
        OptionalLong number = number(event);
        if (number.isEmpty()) {
            return false;
        }
        return mCountsByOne ? isNextOrFirst(number.getAsLong()) : isAfterLast(number.getAsLong());
    }

    /** Returns whether no event has been forwarded; comments alone are none. */
    boolean isEmpty() {
        return mEmpty;
    }

    /** Returns whether it is known which event must come next. */
    boolean canResume() {
        return mEmpty || mNewestIsLast;
    }

    /** Returns the greatest id that has been forwarded. */
    Optional<String> lastId() {
        return mLast.isPresent() ? Optional.of(Long.toString(mLast.getAsLong())) : Optional.empty();
    }

    private boolean isAfterLast(long number) {
        return mLast.isEmpty() || number > mLast.getAsLong();
    }

    private boolean isNextOrFirst(long number) {
        return mLast.isEmpty() || number == mLast.getAsLong() + 1;
    }

    private static OptionalLong number(EventScanner.Event event) {
        return event.id().filter(id -> WHOLE_NUMBER.matcher(id).matches()).stream()
                .mapToLong(Long::parseLong)
                .findFirst();
    }
}
