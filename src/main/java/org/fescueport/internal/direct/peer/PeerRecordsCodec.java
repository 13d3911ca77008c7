package org.fescueport.internal.direct.peer;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fescueport.internal.direct.state.RecordBatch;
import org.fescueport.internal.direct.state.StateRecord;
import org.fescueport.internal.direct.state.StateTopic;
import org.fescueport.internal.direct.state.StorePosition;
import org.fescueport.internal.wire.generated.PeerMessage;
import org.fescueport.internal.wire.generated.PeerRecord;
import org.fescueport.internal.wire.generated.PeerRecords;

/** Writes batches of records for peers and reads them. */
final class PeerRecordsCodec {
    private PeerRecordsCodec() {}

    /**
     * Returns a message with the records.
     *
     * @param lapseGrace time for which removed entries may still be written again, for nodes of
     *     builds that do not find out themselves
     */
    static PeerMessage encode(RecordBatch batch, Duration lapseGrace) {
        var records =
                PeerRecords.newBuilder()
                        .setReplicas(batch.topic() == StateTopic.REPLICAS)
                        .setFrom(batch.from().offset())
                        .setFromEra(batch.from().era())
                        .setEnd(batch.end().offset())
                        .setEndEra(batch.end().era())
                        .setWhole(batch.whole())
                        .setLapseGraceMs((int) lapseGrace.toMillis());
        for (var record : batch.records()) {
            var entry =
                    PeerRecord.newBuilder()
                            .setOffset(record.position().offset())
                            .setEra(record.position().era())
                            .setKey(record.key())
                            .setRemoved(record.value().isEmpty());
            record.value().ifPresent(value -> entry.setValue(ByteString.copyFrom(value)));
            records.addEntries(entry);
        }
        return PeerMessage.newBuilder().setRecords(records).build();
    }

    /** Returns the records of a message. */
    static RecordBatch decode(PeerRecords records) {
        List<StateRecord> entries = new ArrayList<>();
        for (var entry : records.getEntriesList()) {
            var position = StorePosition.of(entry.getEra(), entry.getOffset());
            entries.add(
                    entry.getRemoved()
                            ? StateRecord.removed(position, entry.getKey())
                            : StateRecord.set(
                                    position, entry.getKey(), entry.getValue().toByteArray()));
        }
        StateTopic topic = records.getReplicas() ? StateTopic.REPLICAS : StateTopic.CONFIGURATION;
        return new RecordBatch(
                topic,
                StorePosition.of(records.getFromEra(), records.getFrom()),
                StorePosition.of(records.getEndEra(), records.getEnd()),
                records.getWhole(),
                entries);
    }
}
