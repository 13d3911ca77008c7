package org.fescueport.internal.decision.config;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.fescueport.internal.decision.ModelDeclaration;
import org.fescueport.internal.decision.ServiceDeclaration;
import org.fescueport.internal.decision.TeamDeclaration;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.TokenKeyDeclaration;

/**
 * The content of a declaration file. Files are published and replaced by name, and a name is unique
 * among files of all kinds.
 */
public sealed interface DeclarationFile {
    /** Returns the name under which the file is published. */
    String name();

    /**
     * A file that declares a model.
     *
     * @param teams the names of the teams that may call the model; empty for all teams
     */
    record ModelFile(ModelDeclaration model, Set<String> teams) implements DeclarationFile {
        public ModelFile {
            teams = Set.copyOf(teams);
        }

        @Override
        public String name() {
            return model.name();
        }
    }

    /**
     * A file that declares a service.
     *
     * @param teams the names of the teams that may call the service; empty for all teams
     */
    record ServiceFile(ServiceDeclaration service, Set<String> teams) implements DeclarationFile {
        public ServiceFile {
            teams = Set.copyOf(teams);
        }

        @Override
        public String name() {
            return service.name();
        }
    }

    /** A file that declares the keys with which tokens are signed; there is at most one. */
    record TokenKeysFile(String name, TokenKeyDeclaration keys) implements DeclarationFile {}

    /** A file that declares teams, which several models and services may refer to. */
    record TeamsFile(String name, Map<TeamId, TeamDeclaration> teams) implements DeclarationFile {
        public TeamsFile {
            teams = Map.copyOf(teams);
        }

        /** Returns a file that declares these teams. */
        public static TeamsFile of(String name, Iterable<TeamDeclaration> teams) {
            var byId = new LinkedHashMap<TeamId, TeamDeclaration>();
            teams.forEach(team -> byId.put(team.id(), team));
            return new TeamsFile(name, byId);
        }
    }
}
