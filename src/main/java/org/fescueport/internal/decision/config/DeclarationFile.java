package org.fescueport.internal.decision.config;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.fescueport.internal.decision.ModelDeclaration;
import org.fescueport.internal.decision.ServiceDeclaration;
import org.fescueport.internal.decision.TeamDeclaration;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.TokenKeyDeclaration;

/** What one file declares. A file's name is unique over all kinds, and is what is published. */
public sealed interface DeclarationFile {
    /** Returns the name under which the file is published. */
    String name();

    /**
     * A model.
     *
     * @param teams teams that may call it; empty for all
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
     * A plain service.
     *
     * @param teams teams that may call it; empty for all
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

    /** The keys that sign tokens; at most one file declares them. */
    record TokenKeysFile(String name, TokenKeyDeclaration keys) implements DeclarationFile {}

    /** Teams that several models and services share. */
    record TeamsFile(String name, Map<TeamId, TeamDeclaration> teams) implements DeclarationFile {
        public TeamsFile {
            teams = Map.copyOf(teams);
        }

        /** Returns a file with these teams. */
        public static TeamsFile of(String name, Iterable<TeamDeclaration> teams) {
            var byId = new LinkedHashMap<TeamId, TeamDeclaration>();
            teams.forEach(team -> byId.put(team.id(), team));
            return new TeamsFile(name, byId);
        }
    }
}
