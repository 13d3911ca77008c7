package org.fescueport.internal.log.config;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.Optional;
import java.util.UUID;
import java.util.stream.Stream;
import org.fescueport.internal.decision.config.ConfigRecord;
import org.fescueport.internal.decision.config.DeclarationFile;
import org.fescueport.internal.decision.config.FileState;
import org.fescueport.internal.decision.config.VerdictCounts;
import org.fescueport.internal.wire.generated.ConfigChange;
import org.fescueport.internal.wire.generated.ConfigOpening;
import org.fescueport.internal.wire.generated.ConfigSnapshot;
import org.fescueport.internal.wire.generated.SnapshotFile;

/** Records of the configuration's stream as bytes. Decoding never fails: see {@link #decode}. */
public final class ConfigCodec {
    /** The newest format that this release reads: records with token keys. */
    private static final int FORMAT = 2;

    private static final int FORMAT_WITHOUT_TOKEN_KEYS = 1;

    private ConfigCodec() {}

    /** Returns the record's bytes. */
    public static byte[] encode(ConfigRecord record) {
        var coded =
                org.fescueport.internal.wire.generated.ConfigRecord.newBuilder()
                        .setFormat(formatOf(record));
        switch (record) {
            case ConfigRecord.Change change -> coded.setChange(encode(change));
            case ConfigRecord.Snapshot snapshot -> coded.setSnapshot(encode(snapshot));
            case ConfigRecord.Opening opening ->
                    coded.setOpening(ConfigOpening.getDefaultInstance());
            case ConfigRecord.Unreadable unreadable ->
                    throw new IllegalArgumentException("an unreadable record has no bytes");
        }
        return coded.build().toByteArray();
    }

    /** A release that would skip a record's content must know that it can't read it. */
    private static int formatOf(ConfigRecord record) {
        var files =
                switch (record) {
                    case ConfigRecord.Change change -> change.content().stream();
                    case ConfigRecord.Snapshot snapshot ->
                            snapshot.files().values().stream()
                                    .flatMap(state -> state.content().stream());
                    case ConfigRecord.Opening opening -> Stream.<DeclarationFile>empty();
                    case ConfigRecord.Unreadable unreadable -> Stream.<DeclarationFile>empty();
                };
        var hasKeys = files.anyMatch(DeclarationFile.TokenKeysFile.class::isInstance);
        return hasKeys ? FORMAT : FORMAT_WITHOUT_TOKEN_KEYS;
    }

    /** Returns the record, or {@link ConfigRecord.Unparseable}, alike on every node. */
    public static ConfigRecord decode(byte[] data) {
        try {
            var coded = org.fescueport.internal.wire.generated.ConfigRecord.parseFrom(data);
            if (coded.getFormat() > FORMAT) {
                return new ConfigRecord.Unreadable(
                        "format " + coded.getFormat() + " is newer", true);
            }
            return switch (coded.getBodyCase()) {
                case CHANGE -> decode(coded.getChange());
                case SNAPSHOT -> decode(coded.getSnapshot());
                case OPENING -> new ConfigRecord.Opening();
                case BODY_NOT_SET -> new ConfigRecord.Unreadable("it has no body", false);
            };
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            return new ConfigRecord.Unreadable(String.valueOf(e.getMessage()), false);
        }
    }

    private static ConfigChange encode(ConfigRecord.Change change) {
        var coded =
                ConfigChange.newBuilder()
                        .setFile(change.file())
                        .setBase(change.base())
                        .setPublisher(change.publisher())
                        .setNonceHigh(change.nonce().getMostSignificantBits())
                        .setNonceLow(change.nonce().getLeastSignificantBits());
        change.content().ifPresent(content -> coded.setContent(FileCodec.encode(content)));
        return coded.build();
    }

    private static ConfigRecord decode(ConfigChange coded) {
        Optional<DeclarationFile> content =
                coded.hasContent()
                        ? Optional.of(FileCodec.decode(coded.getContent()))
                        : Optional.empty();
        var name = coded.getFile();
        if (name.isEmpty() || content.filter(file -> !file.name().equals(name)).isPresent()) {
            return new ConfigRecord.Unreadable("its content isn't of file " + name, false);
        }
        var nonce = new UUID(coded.getNonceHigh(), coded.getNonceLow());
        return new ConfigRecord.Change(name, coded.getBase(), content, coded.getPublisher(), nonce);
    }

    private static ConfigSnapshot encode(ConfigRecord.Snapshot snapshot) {
        var counts = snapshot.counts();
        var coded =
                ConfigSnapshot.newBuilder()
                        .setPosition(snapshot.position())
                        .setVersion(snapshot.version())
                        .setAccepted(counts.accepted())
                        .setLost(counts.lost())
                        .setRefused(counts.refused())
                        .setUnreadable(counts.unreadable());
        for (var file : snapshot.files().entrySet()) {
            var state = file.getValue();
            var one = SnapshotFile.newBuilder().setName(file.getKey()).setVersion(state.version());
            state.content().ifPresent(content -> one.setContent(FileCodec.encode(content)));
            coded.addFiles(one);
        }
        return coded.build();
    }

    private static ConfigRecord decode(ConfigSnapshot coded) {
        var files = new HashMap<String, FileState>();
        for (var file : coded.getFilesList()) {
            Optional<DeclarationFile> content =
                    file.hasContent()
                            ? Optional.of(FileCodec.decode(file.getContent()))
                            : Optional.empty();
            files.put(file.getName(), new FileState(file.getVersion(), content));
        }
        var newest = files.values().stream().mapToLong(FileState::version).max().orElse(0);
        if (newest != coded.getVersion() || (newest > 0 && newest >= coded.getPosition())) {
            return new ConfigRecord.Unreadable("a snapshot whose versions don't agree", false);
        }
        var counts =
                new VerdictCounts(
                        coded.getAccepted(),
                        coded.getLost(),
                        coded.getRefused(),
                        coded.getUnreadable());
        return new ConfigRecord.Snapshot(coded.getPosition(), coded.getVersion(), files, counts);
    }
}
