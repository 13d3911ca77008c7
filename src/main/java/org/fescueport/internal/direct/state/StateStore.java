package org.fescueport.internal.direct.state;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * The shared, durable store.
 *
 * <p>Futures complete on the event loop and fail with {@link StoreException}.
 *
 * <pre>{@code
 * store.newest(StateTopic.REPLICAS).thenAccept(page -> apply(page.records()));
 * }</pre>
 */
public interface StateStore {
    /**
     * Part of a topic.
     *
     * @param records in the order of their positions
     * @param end position that the next record will get; its era is that of the response
     */
    record Page(List<StateRecord> records, StorePosition end) {}

    /** Reads the newest record of each key. */
    default CompletableFuture<Page> newest(StateTopic topic) {
        return newest(topic, records -> {});
    }

    /**
     * Reads the newest record of each key.
     *
     * @param onPart receives the records of each part as it arrives, where the list comes in
     *     several parts; the page contains them again
     */
    CompletableFuture<Page> newest(StateTopic topic, Consumer<List<StateRecord>> onPart);

    /**
     * Reads the records from a position on. The era of the response may differ from that of the
     * position.
     *
     * @param maxWait how long the store may wait for a record if there is none; 0 for no wait
     */
    CompletableFuture<Page> read(StateTopic topic, StorePosition from, Duration maxWait);

    /** Writes a node's record; the future completes with the position of the record. */
    CompletableFuture<StorePosition> registerNode(String node, NodeRecord record);
}
