package org.fescueport.internal.direct.state;

import java.util.List;

/**
 * Records of one topic in the order of their places.
 *
 * @param from the place up to which the topic must be known for the batch to follow
 * @param end the place behind the batch
 * @param whole whether it holds the newest record of every key, so that it follows anything
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

    /** Returns the newest records of all keys. */
    public static RecordBatch whole(StateTopic topic, StateStore.Page page) {
        return new RecordBatch(topic, StorePosition.START, page.end(), true, page.records());
    }

    /** Returns records that changed something, for somebody who knows all before a place. */
    public static RecordBatch incremental(
            StateTopic topic, StorePosition from, StorePosition end, List<StateRecord> records) {
        return new RecordBatch(topic, from, end, false, records);
    }

    /** Returns the records that a reading from this place gave. */
    public static RecordBatch following(
            StateTopic topic, StorePosition from, StateStore.Page page) {
        return new RecordBatch(topic, from, page.end(), false, page.records());
    }
}
