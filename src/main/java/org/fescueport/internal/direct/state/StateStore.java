package org.fescueport.internal.direct.state;

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
     * @param records in the order of their places
     * @param end the place that the next record will get; its era is that of the answer
     */
    record Page(List<StateRecord> records, StorePosition end) {}

    /** Reads the newest record of each key. */
    CompletableFuture<Page> newest(StateTopic topic);

    /**
     * Reads the records from a place on. The answer may be of another era than the place.
     *
     * @param maxWait how long the store may wait for a record when there is none; 0 for no wait
     */
    CompletableFuture<Page> read(StateTopic topic, StorePosition from, Duration maxWait);

    /** Tells where a node is reached; returns the place of the record. */
    CompletableFuture<StorePosition> registerNode(String node, NodeRecord record);
}
