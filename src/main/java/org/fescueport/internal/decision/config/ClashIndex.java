package org.fescueport.internal.decision.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescueport.internal.decision.TeamDeclaration;

/** Who owns what may be declared once only: pools, teams, API keys and the keys of tokens. */
final class ClashIndex {
    private final Map<String, String> mPools = new HashMap<>();
    private final Map<String, String> mTeams = new HashMap<>();
    private final Map<String, String> mKeys = new HashMap<>();
    private String mTokenKeysFile = "";

    /** Returns why {@code file} can't stand beside the files already added; empty if it can. */
    List<String> clashesOf(DeclarationFile file) {
        var clashes = new ArrayList<String>();
        switch (file) {
            case DeclarationFile.ModelFile f ->
                    poolClash(f.name(), f.model().pool().name(), clashes);
            case DeclarationFile.ServiceFile f ->
                    poolClash(f.name(), f.service().pool().name(), clashes);
            case DeclarationFile.TeamsFile f ->
                    f.teams().values().forEach(team -> teamClashes(f.name(), team, clashes));
            case DeclarationFile.TokenKeysFile f -> {
                if (!mTokenKeysFile.isEmpty() && !mTokenKeysFile.equals(f.name())) {
                    clashes.add("tokenKeys are already declared in " + mTokenKeysFile);
                }
            }
        }
        return clashes;
    }

    void add(DeclarationFile file) {
        switch (file) {
            case DeclarationFile.ModelFile f -> mPools.put(f.model().pool().name(), f.name());
            case DeclarationFile.ServiceFile f -> mPools.put(f.service().pool().name(), f.name());
            case DeclarationFile.TeamsFile f ->
                    f.teams().values().forEach(t -> addTeam(f.name(), t));
            case DeclarationFile.TokenKeysFile f -> mTokenKeysFile = f.name();
        }
    }

    void remove(DeclarationFile file) {
        switch (file) {
            case DeclarationFile.ModelFile f -> mPools.remove(f.model().pool().name(), f.name());
            case DeclarationFile.ServiceFile f ->
                    mPools.remove(f.service().pool().name(), f.name());
            case DeclarationFile.TeamsFile f -> f.teams().values().forEach(this::removeTeam);
            case DeclarationFile.TokenKeysFile f -> mTokenKeysFile = "";
        }
    }

    private void poolClash(String file, String pool, List<String> clashes) {
        var owner = mPools.get(pool);
        if (owner != null && !owner.equals(file)) {
            clashes.add("pool " + pool + " is already used by " + owner);
        }
    }

    private void teamClashes(String file, TeamDeclaration team, List<String> clashes) {
        var owner = mTeams.get(team.id().name());
        if (owner != null && !owner.equals(file)) {
            clashes.add("team " + team.id() + " is already declared in " + owner);
        }
        for (var hash : team.keyHashes()) {
            var holder = mKeys.get(hash);
            var holderFile = holder == null ? null : mTeams.get(holder);
            if (holder != null && !holder.equals(team.id().name()) && !file.equals(holderFile)) {
                clashes.add("a key of team " + team.id() + " already belongs to team " + holder);
            }
        }
    }

    private void addTeam(String file, TeamDeclaration team) {
        mTeams.put(team.id().name(), file);
        team.keyHashes().forEach(hash -> mKeys.put(hash, team.id().name()));
    }

    private void removeTeam(TeamDeclaration team) {
        mTeams.remove(team.id().name());
        team.keyHashes().forEach(mKeys::remove);
    }
}
