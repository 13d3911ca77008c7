package org.fescueport.internal.standin.log;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentSkipListMap;

/** One stream of records, whose oldest are dropped by age and by count. */
final class RecordStream {
    /** A record as it stands in the stream. */
    record Entry(long offset, long appendedAtMillis, byte[] data) {}

    /** Part of the stream. */
    record Page(List<Entry> entries, long firstOffset, long nextOffset) {}

    private static final int PAGE_BYTES = 1024 * 1024;

    private final ConcurrentSkipListMap<Long, Entry> mEntries = new ConcurrentSkipListMap<>();
    private long mNextOffset = 1;

    /** Appends the records as one block and returns the offset of the first. */
    synchronized long append(List<byte[]> records, long nowMillis) {
        long first = mNextOffset;
        for (var data : records) {
            mEntries.put(mNextOffset, new Entry(mNextOffset, nowMillis, data));
            mNextOffset++;
        }
        return first;
    }

    /** Reads from {@code from}, or from the oldest record that is kept. */
    synchronized Page read(long from, int limit) {
        var entries = new ArrayList<Entry>();
        int bytes = 0;
        for (var entry : mEntries.tailMap(from).values()) {
            bytes += entry.data().length;
            if (entries.size() >= limit || (bytes > PAGE_BYTES && !entries.isEmpty())) {
                break;
            }
            entries.add(entry);
        }
        return new Page(entries, firstOffset(), mNextOffset);
    }

    /** Drops records that are too old or too many. */
    synchronized void trim(long oldestMillis, int keptRecords) {
        while (!mEntries.isEmpty()
                && (mEntries.size() > keptRecords
                        || mEntries.firstEntry().getValue().appendedAtMillis() < oldestMillis)) {
            mEntries.pollFirstEntry();
        }
    }

    private long firstOffset() {
        return mEntries.isEmpty() ? mNextOffset : mEntries.firstKey();
    }
}
