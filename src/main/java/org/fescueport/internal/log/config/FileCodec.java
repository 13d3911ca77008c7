package org.fescueport.internal.log.config;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.Set;
import org.fescueport.internal.decision.ModelDeclaration;
import org.fescueport.internal.decision.OperationDeclaration;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.ServiceDeclaration;
import org.fescueport.internal.decision.TeamDeclaration;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.TokenKeyDeclaration;
import org.fescueport.internal.decision.WorkKind;
import org.fescueport.internal.decision.config.DeclarationFile;
import org.fescueport.internal.wire.generated.DeclaredFile;
import org.fescueport.internal.wire.generated.DeclaredModel;
import org.fescueport.internal.wire.generated.DeclaredOperation;
import org.fescueport.internal.wire.generated.DeclaredService;
import org.fescueport.internal.wire.generated.DeclaredTeam;
import org.fescueport.internal.wire.generated.DeclaredTeams;
import org.fescueport.internal.wire.generated.DeclaredTokenKeys;
import org.fescueport.internal.wire.generated.DeclaredWork;

/**
 * Declarations as protobuf.
 *
 * <p>Decoding refuses what no parser lets through, so that a record written by something else can't
 * put a nonsensical bound in force.
 */
final class FileCodec {
    private FileCodec() {}

    static DeclaredFile encode(DeclarationFile file) {
        var coded = DeclaredFile.newBuilder();
        switch (file) {
            case DeclarationFile.ModelFile f -> coded.setModel(encode(f));
            case DeclarationFile.ServiceFile f -> coded.setService(encode(f));
            case DeclarationFile.TeamsFile f -> coded.setTeams(encode(f));
            case DeclarationFile.TokenKeysFile f -> coded.setTokenKeys(encode(f));
        }
        return coded.build();
    }

    /** Decodes; throws {@link IllegalArgumentException} for what can't be in force. */
    static DeclarationFile decode(DeclaredFile coded) {
        return switch (coded.getKindCase()) {
            case MODEL -> decode(coded.getModel());
            case SERVICE -> decode(coded.getService());
            case TEAMS -> decode(coded.getTeams());
            case TOKEN_KEYS -> decode(coded.getTokenKeys());
            case KIND_NOT_SET -> throw new IllegalArgumentException("a file of no known kind");
        };
    }

    private static DeclaredModel encode(DeclarationFile.ModelFile file) {
        var model = file.model();
        var coded =
                DeclaredModel.newBuilder()
                        .setName(model.name())
                        .setPool(model.pool().name())
                        .setLoadBound(model.loadBound())
                        .setDefaultWork(model.defaultWork())
                        .setChecksFencing(model.checksFencing())
                        .setReplicas(model.replicas())
                        .setArtifact(model.artifact())
                        .addAllTeams(file.teams().stream().sorted().toList());
        model.workKinds().values().stream()
                .sorted((a, b) -> a.name().compareTo(b.name()))
                .forEach(work -> coded.addWork(encode(work)));
        return coded.build();
    }

    private static DeclaredWork encode(WorkKind work) {
        return DeclaredWork.newBuilder()
                .setName(work.name())
                .setPriority(work.priority())
                .setDeadlineMs(work.deadline().toMillis())
                .build();
    }

    private static DeclarationFile decode(DeclaredModel coded) {
        var work = new HashMap<String, WorkKind>();
        for (var kind : coded.getWorkList()) {
            work.put(
                    kind.getName(),
                    workKind(kind.getName(), kind.getPriority(), kind.getDeadlineMs()));
        }
        require(work.containsKey(coded.getDefaultWork()), "its default kind of work is undeclared");
        require(coded.getReplicas() > 0, "it wants no replica");
        var model =
                new ModelDeclaration(
                        name(coded.getName()),
                        PoolId.of(name(coded.getPool())),
                        bound(coded.getLoadBound()),
                        work,
                        coded.getDefaultWork(),
                        coded.getChecksFencing(),
                        coded.getReplicas(),
                        name(coded.getArtifact()));
        return new DeclarationFile.ModelFile(model, new HashSet<>(coded.getTeamsList()));
    }

    private static DeclaredService encode(DeclarationFile.ServiceFile file) {
        var service = file.service();
        var coded =
                DeclaredService.newBuilder()
                        .setName(service.name())
                        .setPool(service.pool().name())
                        .setLoadBound(service.loadBound())
                        .setChecksFencing(service.checksFencing())
                        .addAllTeams(file.teams().stream().sorted().toList());
        service.operations().values().stream()
                .sorted((a, b) -> a.name().compareTo(b.name()))
                .forEach(operation -> coded.addOperations(encode(operation)));
        return coded.build();
    }

    private static DeclaredOperation encode(OperationDeclaration operation) {
        return DeclaredOperation.newBuilder()
                .setName(operation.name())
                .setIdempotent(operation.idempotent())
                .setPriority(operation.work().priority())
                .setDeadlineMs(operation.work().deadline().toMillis())
                .setKeyWindowMs(operation.keyWindow().toMillis())
                .build();
    }

    private static DeclarationFile decode(DeclaredService coded) {
        var operations = new HashMap<String, OperationDeclaration>();
        for (var operation : coded.getOperationsList()) {
            operations.put(operation.getName(), decode(operation));
        }
        var service =
                new ServiceDeclaration(
                        name(coded.getName()),
                        PoolId.of(name(coded.getPool())),
                        bound(coded.getLoadBound()),
                        operations,
                        coded.getChecksFencing());
        return new DeclarationFile.ServiceFile(service, new HashSet<>(coded.getTeamsList()));
    }

    private static OperationDeclaration decode(DeclaredOperation coded) {
        var windowed = coded.getIdempotent() || coded.getKeyWindowMs() > 0;
        require(windowed, "an operation that may not be repeated has no key window");
        return new OperationDeclaration(
                name(coded.getName()),
                coded.getIdempotent(),
                workKind(coded.getName(), coded.getPriority(), coded.getDeadlineMs()),
                Duration.ofMillis(coded.getKeyWindowMs()));
    }

    private static DeclaredTeams encode(DeclarationFile.TeamsFile file) {
        var coded = DeclaredTeams.newBuilder().setName(file.name());
        file.teams().values().stream()
                .sorted((a, b) -> a.id().name().compareTo(b.id().name()))
                .forEach(team -> coded.addTeams(encode(team)));
        return coded.build();
    }

    private static DeclaredTeam encode(TeamDeclaration team) {
        var coded =
                DeclaredTeam.newBuilder()
                        .setName(team.id().name())
                        .setWeight(team.weight())
                        .addAllTargets(team.targets().stream().sorted().toList());
        team.keyHashes().stream()
                .sorted()
                .map(hash -> ByteString.copyFrom(HexFormat.of().parseHex(hash)))
                .forEach(coded::addKeyHashes);
        return coded.build();
    }

    private static DeclarationFile decode(DeclaredTeams coded) {
        var keys = new HashSet<String>();
        var teams = coded.getTeamsList().stream().map(team -> decode(team, keys)).toList();
        var file = DeclarationFile.TeamsFile.of(name(coded.getName()), teams);
        require(file.teams().size() == teams.size(), "it declares a team twice");
        return file;
    }

    private static TeamDeclaration decode(DeclaredTeam coded, Set<String> keys) {
        var hashes = new HashSet<String>();
        for (var hash : coded.getKeyHashesList()) {
            var hex = HexFormat.of().formatHex(hash.toByteArray());
            require(keys.add(hex), "it gives one key to two teams");
            hashes.add(hex);
        }
        require(
                coded.getWeight() > 0 && Double.isFinite(coded.getWeight()),
                "a weight isn't above 0");
        return new TeamDeclaration(
                TeamId.of(name(coded.getName())),
                coded.getWeight(),
                hashes,
                new HashSet<>(coded.getTargetsList()));
    }

    private static DeclaredTokenKeys encode(DeclarationFile.TokenKeysFile file) {
        return DeclaredTokenKeys.newBuilder()
                .setName(file.name())
                .setSigns(file.keys().signs())
                .putAllAcceptedUntilMs(file.keys().acceptedUntilMillis())
                .build();
    }

    private static DeclarationFile decode(DeclaredTokenKeys coded) {
        requireKeyId(coded.getSigns());
        coded.getAcceptedUntilMsMap().keySet().forEach(FileCodec::requireKeyId);
        var keys = new TokenKeyDeclaration(coded.getSigns(), coded.getAcceptedUntilMsMap());
        return new DeclarationFile.TokenKeysFile(name(coded.getName()), keys);
    }

    private static void requireKeyId(int id) {
        require(id >= 0 && id <= TokenKeyDeclaration.MAX_ID, "a token key's id is out of range");
    }

    private static WorkKind workKind(String name, int priority, long deadlineMillis) {
        require(deadlineMillis > 0 && priority >= 0, "a kind of work has no deadline or priority");
        return new WorkKind(name(name), priority, Duration.ofMillis(deadlineMillis));
    }

    private static String name(String name) {
        require(!name.isEmpty(), "a name is empty");
        return name;
    }

    private static double bound(double bound) {
        require(bound > 1 && Double.isFinite(bound), "a load bound isn't above 1");
        return bound;
    }

    private static void require(boolean holds, String fault) {
        if (!holds) {
            throw new IllegalArgumentException(fault);
        }
    }
}
