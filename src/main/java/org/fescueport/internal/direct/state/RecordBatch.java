package org.fescueport.internal.direct.state;

import java.util.List;

/**
 * Records of one topic in the order of their positions.
 *
 * @param from position up to which the topic must be known for the batch to be applied
 * @param end position after the batch
 * @param whole whether it contains the newest record of every key, so that it can always be applied
 */
public record RecordBatch(
        StateTopic topic,
        StorePosition from,
        StorePosition end,
        boolean whole,
        List<StateRecord> records) {
    public RecordBatch {
        records = List.copyOf(records);
    }

    /** Returns a batch with the newest records of all keys. */
    public static RecordBatch whole(StateTopic topic, StateStore.Page page) {
        return new RecordBatch(topic, StorePosition.START, page.end(), true, page.records());
    }

    /**
     * Returns a batch of records that changed something, for a node that knows all records before a
     * position.
     */
    public static RecordBatch incremental(
            StateTopic topic, StorePosition from, StorePosition end, List<StateRecord> records) {
        return new RecordBatch(topic, from, end, false, records);
    }

    /** Returns a batch with the records that a read from this position returned. */
    public static RecordBatch following(
            StateTopic topic, StorePosition from, StateStore.Page page) {
        return new RecordBatch(topic, from, page.end(), false, page.records());
    }
}
