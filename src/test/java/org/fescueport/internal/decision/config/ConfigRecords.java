package org.fescueport.internal.decision.config;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import org.fescueport.internal.decision.ModelDeclaration;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.TeamDeclaration;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.WorkKind;

/** Creates configuration records and declaration files for tests. */
public final class ConfigRecords {
    private ConfigRecords() {}

    /** Returns a file that declares a model with a pool of the same name. */
    public static DeclarationFile model(String name, int replicas) {
        return model(name, name, replicas);
    }

    /** Returns a file that declares a model. */
    public static DeclarationFile model(String name, String pool, int replicas) {
        var work = Map.of("note", new WorkKind("note", 1, Duration.ofSeconds(30)));
        var model =
                new ModelDeclaration(
                        name, PoolId.of(pool), 1.5, work, "note", true, replicas, "weights-1");
        return new DeclarationFile.ModelFile(model, Set.of());
    }

    /** Returns a file that declares a single team. */
    public static DeclarationFile teams(String file, String team, String hash) {
        var declared = new TeamDeclaration(TeamId.of(team), 1, Set.of(hash), Set.of());
        return DeclarationFile.TeamsFile.of(file, List.of(declared));
    }

    /** Returns a change that publishes this file, based on version {@code base}. */
    public static ConfigRecord.Change change(long base, DeclarationFile file, long nonce) {
        return new ConfigRecord.Change(
                file.name(), base, Optional.of(file), "tests", new UUID(0, nonce));
    }

    /** Returns a change that removes a file, based on version {@code base}. */
    public static ConfigRecord.Change removal(long base, String file) {
        return new ConfigRecord.Change(file, base, Optional.empty(), "tests", new UUID(1, base));
    }
}
