package org.fescueport.internal.direct.state;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The shared store that keeps what must last.
 *
 * <p>Futures complete on the event loop and fail with {@link StoreException}.
 *
 * <pre>{@code
 * store.newest(StateTopic.REPLICAS).thenAccept(view::replaceAll);
 * }</pre>
 */
public interface StateStore {
    /**
     * Part of a topic.
     *
     * @param records in the order of their offsets
     * @param end the offset that the next record will get
     */
    record Page(List<StateRecord> records, long end) {}

    /** Reads the newest record of each key. */
    CompletableFuture<Page> newest(StateTopic topic);

    /**
     * Reads the records from an offset on.
     *
     * @param patience how long the store may wait for a record when there is none; 0 for no wait
     */
    CompletableFuture<Page> read(StateTopic topic, long from, Duration patience);

    /** Tells where a node is reached; returns the offset of the record. */
    CompletableFuture<Long> announce(String node, InetSocketAddress address);
}
