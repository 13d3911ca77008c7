package org.fescueport.internal.direct.peer;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.DataFormatException;
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
            record.value().ifPresent(value -> setValue(entry, value));
            records.addEntries(entry);
        }
        return PeerMessage.newBuilder().setRecords(records).build();
    }

    private static void setValue(PeerRecord.Builder entry, byte[] value) {
        if (value.length < Deflation.LEAST_BYTES) {
            entry.setValue(ByteString.copyFrom(value));
        } else {
            entry.setValue(Deflation.deflate(value)).setInflatedBytes(value.length);
        }
    }

    /**
     * Returns the records of a message.
     *
     * @throws DataFormatException when a value can't be read
     */
    static RecordBatch decode(PeerRecords records) throws DataFormatException {
        List<StateRecord> entries = new ArrayList<>();
        for (var entry : records.getEntriesList()) {
            var position = StorePosition.of(entry.getEra(), entry.getOffset());
            entries.add(
                    entry.getRemoved()
                            ? StateRecord.removed(position, entry.getKey())
                            : StateRecord.set(position, entry.getKey(), value(entry)));
        }
        StateTopic topic = records.getReplicas() ? StateTopic.REPLICAS : StateTopic.CONFIGURATION;
        return new RecordBatch(
                topic,
                StorePosition.of(records.getFromEra(), records.getFrom()),
                StorePosition.of(records.getEndEra(), records.getEnd()),
                records.getWhole(),
                entries);
    }

    private static byte[] value(PeerRecord entry) throws DataFormatException {
        return entry.getInflatedBytes() == 0
                ? entry.getValue().toByteArray()
                : Deflation.inflate(entry.getValue(), entry.getInflatedBytes());
    }
}
