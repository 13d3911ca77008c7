package org.fescueport.internal.decision.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescueport.internal.decision.TeamDeclaration;

/**
 * Finds declarations that conflict with those of other files. A pool, a team, an API key and the
 * token keys may each be declared only once.
 */
final class UniquenessIndex {
    private final Map<String, String> mFilesByPool = new HashMap<>();
    private final Map<String, String> mFilesByTeam = new HashMap<>();
    private final Map<String, String> mTeamsByKeyHash = new HashMap<>();
    private String mTokenKeysFile = "";

    /**
     * Returns the conflicts between {@code file} and other files that were added; empty if there
     * are none. A file does not conflict with an earlier version of itself.
     */
    List<String> conflictsOf(DeclarationFile file) {
        var conflicts = new ArrayList<String>();
        switch (file) {
            case DeclarationFile.ModelFile f ->
                    addPoolConflict(f.name(), f.model().pool().name(), conflicts);
            case DeclarationFile.ServiceFile f ->
                    addPoolConflict(f.name(), f.service().pool().name(), conflicts);
            case DeclarationFile.TeamsFile f ->
                    f.teams().values().forEach(team -> addTeamConflicts(f.name(), team, conflicts));
            case DeclarationFile.TokenKeysFile f -> {
                if (!mTokenKeysFile.isEmpty() && !mTokenKeysFile.equals(f.name())) {
                    conflicts.add("tokenKeys are already declared in " + mTokenKeysFile);
                }
            }
        }
        return conflicts;
    }

    void add(DeclarationFile file) {
        switch (file) {
            case DeclarationFile.ModelFile f -> mFilesByPool.put(f.model().pool().name(), f.name());
            case DeclarationFile.ServiceFile f ->
                    mFilesByPool.put(f.service().pool().name(), f.name());
            case DeclarationFile.TeamsFile f ->
                    f.teams().values().forEach(t -> addTeam(f.name(), t));
            case DeclarationFile.TokenKeysFile f -> mTokenKeysFile = f.name();
        }
    }

    void remove(DeclarationFile file) {
        switch (file) {
            case DeclarationFile.ModelFile f ->
                    mFilesByPool.remove(f.model().pool().name(), f.name());
            case DeclarationFile.ServiceFile f ->
                    mFilesByPool.remove(f.service().pool().name(), f.name());
            case DeclarationFile.TeamsFile f -> f.teams().values().forEach(this::removeTeam);
            case DeclarationFile.TokenKeysFile f -> mTokenKeysFile = "";
        }
    }

    private void addPoolConflict(String file, String pool, List<String> conflicts) {
        var owner = mFilesByPool.get(pool);
        if (owner != null && !owner.equals(file)) {
            conflicts.add("pool " + pool + " is already used by " + owner);
        }
    }

    private void addTeamConflicts(String file, TeamDeclaration team, List<String> conflicts) {
        var owner = mFilesByTeam.get(team.id().name());
        if (owner != null && !owner.equals(file)) {
            conflicts.add("team " + team.id() + " is already declared in " + owner);
        }
        for (var hash : team.keyHashes()) {
            var holder = mTeamsByKeyHash.get(hash);
            var holderFile = holder == null ? null : mFilesByTeam.get(holder);
            if (holder != null && !holder.equals(team.id().name()) && !file.equals(holderFile)) {
                conflicts.add("a key of team " + team.id() + " already belongs to team " + holder);
            }
        }
    }

    private void addTeam(String file, TeamDeclaration team) {
        mFilesByTeam.put(team.id().name(), file);
        team.keyHashes().forEach(hash -> mTeamsByKeyHash.put(hash, team.id().name()));
    }

    private void removeTeam(TeamDeclaration team) {
        mFilesByTeam.remove(team.id().name());
        team.keyHashes().forEach(mTeamsByKeyHash::remove);
    }
}
