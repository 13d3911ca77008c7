package org.fescueport.internal.log.poison;

import io.vavr.control.Try;
import java.util.List;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.claim.ContentHash;
import org.fescueport.internal.decision.poison.Fingerprint;
import org.fescueport.internal.decision.poison.PoisonRecord;
import org.fescueport.internal.wire.generated.PoisonEntries;
import org.fescueport.internal.wire.generated.PoisonEntry;
import org.fescueport.internal.wire.generated.PoisonKind;

/** Encodes and decodes {@link PoisonRecord}s for the log and for messages between processes. */
public final class PoisonCodec {
    private PoisonCodec() {}

    /** Encodes one record for the log. */
    public static byte[] encode(PoisonRecord record) {
        return entry(record).toByteArray();
    }

    /** Decodes one record of the log; fails if the data is not a valid record. */
    public static Try<PoisonRecord> decode(byte[] data) {
        return Try.of(() -> record(PoisonEntry.parseFrom(data)));
    }

    /** Encodes the records of one message between processes. */
    public static byte[] encodeAll(List<PoisonRecord> records) {
        PoisonEntries.Builder entries = PoisonEntries.newBuilder();
        records.forEach(record -> entries.addEntries(entry(record)));
        return entries.build().toByteArray();
    }

    /** Decodes the records of a message; fails if any of them is invalid. */
    public static Try<List<PoisonRecord>> decodeAll(byte[] data) {
        return Try.of(
                () ->
                        PoisonEntries.parseFrom(data).getEntriesList().stream()
                                .map(PoisonCodec::record)
                                .toList());
    }

    private static PoisonEntry entry(PoisonRecord record) {
        return PoisonEntry.newBuilder()
                .setTeam(record.fingerprint().team().name())
                .setContentHigh(record.fingerprint().content().high())
                .setContentLow(record.fingerprint().content().low())
                .setServer(record.server().node().name())
                .setServerIncarnation(record.server().number())
                .setKind(PoisonKind.valueOf(record.kind().name()))
                .setAtMs(record.atMillis())
                .build();
    }

    private static PoisonRecord record(PoisonEntry entry) {
        return new PoisonRecord(
                PoisonRecord.Kind.valueOf(entry.getKind().name()),
                Fingerprint.of(
                        TeamId.of(entry.getTeam()),
                        ContentHash.of(entry.getContentHigh(), entry.getContentLow())),
                AgentIncarnation.of(NodeId.of(entry.getServer()), entry.getServerIncarnation()),
                entry.getAtMs());
    }
}
