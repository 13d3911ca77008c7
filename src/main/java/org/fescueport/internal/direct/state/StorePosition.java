package org.fescueport.internal.direct.state;

import java.util.Comparator;

/**
 * Position of a record in a topic of the store: its era, then its offset within that era.
 *
 * <p>A store that was restored from a backup assigns offsets again, so an offset alone defines no
 * order.
 *
 * @param era number of restores of the store; 0 if the store does not report it
 * @param offset starts at 0 in each era
 */
public record StorePosition(long era, long offset) implements Comparable<StorePosition> {
    /** The position before every record. */
    public static final StorePosition START = new StorePosition(0, 0);

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::offset);

    /** Returns the position of an offset in an era. */
    public static StorePosition of(long era, long offset) {
        return new StorePosition(era, offset);
    }

    /** Returns whether this position is before another. */
    public boolean isBefore(StorePosition other) {
        return compareTo(other) < 0;
    }

    /** Returns the position this many records later in the same era, or earlier if negative. */
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
