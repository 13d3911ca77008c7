package org.fescueport.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's append-only log: named streams of records with increasing offsets from 1.
 *
 * <p>Futures fail with {@link PlatformException}. An append that fails with {@link
 * PlatformException.Effect#UNKNOWN} may stand in the log; the writer settles it by reading.
 *
 * <pre>{@code
 * long offset = log.append("config", List.of(record)).join();
 * Page page = log.read("config", offset, 100).join();
 * }</pre>
 */
public interface LogService {
    /** Offset of a stream's first record. */
    long FIRST_OFFSET = 1;

    /** One record as it stands in a stream. */
    record Entry(long offset, long appendedAtMillis, byte[] data) {}

    /**
     * Part of a stream.
     *
     * @param entries records in the order of their offsets
     * @param firstOffset the oldest offset that is still kept
     * @param nextOffset the offset that the next append will get
     */
    record Page(List<Entry> entries, long firstOffset, long nextOffset) {}

    /** Appends the records as one block and returns the offset of the first. */
    CompletableFuture<Long> append(String stream, List<byte[]> records);

    /**
     * Reads at most {@code limit} records from {@code fromOffset} on. An offset older than the
     * oldest kept record reads from that record; {@link Page#firstOffset()} tells of the gap.
     */
    CompletableFuture<Page> read(String stream, long fromOffset, int limit);
}
