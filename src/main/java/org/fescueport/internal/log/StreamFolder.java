package org.fescueport.internal.log;

import java.util.Optional;
import org.fescueport.port.LogService.Entry;

/**
 * The fold of a stream whose snapshots stand in the stream itself.
 *
 * @param <S> a snapshot
 */
public interface StreamFolder<S> {
    /** Returns the offset of the next record to fold. */
    long position();

    /** Moves over offsets that hold no record. */
    void skipTo(long position);

    /** Folds one record; one below the position was folded before. */
    void apply(Entry entry);

    /** Returns the snapshot in this record, if it is a sound one. */
    Optional<S> snapshotIn(Entry entry);

    /** Returns the first offset that a snapshot does not cover. */
    long positionOf(S snapshot);

    /** Goes on from a snapshot, if it is ahead; tells whether it did. */
    boolean adopt(S snapshot);
}
