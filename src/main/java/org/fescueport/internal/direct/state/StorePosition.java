package org.fescueport.internal.direct.state;

import java.util.Comparator;

/**
 * Place of a record in a topic of the store: its era, then its offset in that era.
 *
 * <p>A store that came back from a copy gives offsets out again, so an offset alone orders nothing.
 *
 * @param era how often the store has come back; 0 for a store that does not tell
 * @param offset counted from 0
 */
public record StorePosition(long era, long offset) implements Comparable<StorePosition> {
    /** Before every record. */
    public static final StorePosition START = new StorePosition(0, 0);

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::offset);

    /** Returns the place of an offset in an era. */
    public static StorePosition of(long era, long offset) {
        return new StorePosition(era, offset);
    }

    /** Returns whether this place comes before another. */
    public boolean isBefore(StorePosition other) {
        return compareTo(other) < 0;
    }

    /** Returns the place so many records later in the same era, or earlier. */
    public StorePosition plus(long records) {
        return new StorePosition(era, offset + records);
    }

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return era + "/" + offset;
    }
}
