package org.fescueport.internal.direct.peer;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fescueport.internal.direct.state.RecordBatch;
import org.fescueport.internal.direct.state.StateRecord;
import org.fescueport.internal.direct.state.StateTopic;
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
                        .setFrom(batch.from())
                        .setEnd(batch.end())
                        .setWhole(batch.whole())
                        .setLapseGraceMs((int) lapseGrace.toMillis());
        for (var record : batch.records()) {
            var entry =
                    PeerRecord.newBuilder()
                            .setOffset(record.offset())
                            .setKey(record.key())
                            .setRemoved(record.value().isEmpty());
            record.value().ifPresent(value -> entry.setValue(ByteString.copyFrom(value)));
            records.addEntries(entry);
        }
        return PeerMessage.newBuilder().setRecords(records).build();
    }

    static RecordBatch decode(PeerRecords records) {
        List<StateRecord> entries = new ArrayList<>();
        for (var entry : records.getEntriesList()) {
            entries.add(
                    entry.getRemoved()
                            ? StateRecord.removed(entry.getOffset(), entry.getKey())
                            : StateRecord.set(
                                    entry.getOffset(),
                                    entry.getKey(),
                                    entry.getValue().toByteArray()));
        }
        StateTopic topic = records.getReplicas() ? StateTopic.REPLICAS : StateTopic.CONFIGURATION;
        return new RecordBatch(
                topic, records.getFrom(), records.getEnd(), records.getWhole(), entries);
    }
}
