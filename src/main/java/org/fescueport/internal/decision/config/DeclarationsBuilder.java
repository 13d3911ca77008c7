package org.fescueport.internal.decision.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fescueport.internal.decision.Declarations;
import org.fescueport.internal.decision.ModelDeclaration;
import org.fescueport.internal.decision.ServiceDeclaration;
import org.fescueport.internal.decision.TeamDeclaration;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.TokenKeyDeclaration;

/** Combines declaration files into the declarations in force. */
public final class DeclarationsBuilder {
    // No model or service can have this name, so a team whose only target it is may call nothing.
    // An empty set would permit every target.
    private static final Set<String> NO_TARGET = Set.of("-");

    private final Map<String, ModelDeclaration> mModels = new HashMap<>();
    private final Map<String, ServiceDeclaration> mServices = new HashMap<>();
    private final Map<TeamId, TeamDeclaration> mTeams = new HashMap<>();
    private final Map<String, Set<String>> mPermittedTeamsByTarget = new HashMap<>();
    private Optional<TokenKeyDeclaration> mTokenKeys = Optional.empty();

    private DeclarationsBuilder() {}

    /** Returns the declarations of these files, without the removed ones, as {@code version}. */
    public static Declarations build(long version, Collection<FileState> files) {
        var builder = new DeclarationsBuilder();
        files.forEach(file -> file.content().ifPresent(builder::add));
        builder.mTeams.replaceAll((id, team) -> builder.withPermittedTargets(team));
        return Declarations.of(
                version, builder.mModels, builder.mServices, builder.mTeams, builder.mTokenKeys);
    }

    private void add(DeclarationFile file) {
        switch (file) {
            case DeclarationFile.ModelFile f -> {
                mModels.put(f.name(), f.model());
                mPermittedTeamsByTarget.put(f.name(), f.teams());
            }
            case DeclarationFile.ServiceFile f -> {
                mServices.put(f.name(), f.service());
                mPermittedTeamsByTarget.put(f.name(), f.teams());
            }
            case DeclarationFile.TeamsFile f -> mTeams.putAll(f.teams());
            case DeclarationFile.TokenKeysFile f -> mTokenKeys = Optional.of(f.keys());
        }
    }

    /**
     * Limits the targets of a team to those that both its own file and the target's file permit.
     */
    private TeamDeclaration withPermittedTargets(TeamDeclaration team) {
        var open = mPermittedTeamsByTarget.values().stream().allMatch(Set::isEmpty);
        if (open) {
            return team;
        }
        var targets = new HashSet<String>();
        for (var target : mPermittedTeamsByTarget.entrySet()) {
            var teams = target.getValue();
            var permitted = teams.isEmpty() || teams.contains(team.id().name());
            if (permitted && team.mayCall(target.getKey())) {
                targets.add(target.getKey());
            }
        }
        return new TeamDeclaration(
                team.id(),
                team.weight(),
                team.keyHashes(),
                targets.isEmpty() ? NO_TARGET : targets);
    }
}
