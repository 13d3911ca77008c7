package org.fescueport.internal.decision.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks files against each other and against what is in force.
 *
 * <p>What may be declared once only (file names, pools, teams, keys) is refused by the fold too. A
 * team or target that is named but not declared harms nothing and may be published later by
 * somebody else, so it is refused here, before publishing, but not by the fold.
 */
public final class CrossCheck {
    private final Map<String, ParsedFile> mFiles = new HashMap<>();
    private final List<Problem> mProblems = new ArrayList<>();
    private final ClashIndex mIndex = new ClashIndex();
    private final Set<String> mTeams = new HashSet<>();
    private final Set<String> mTargets = new HashSet<>();

    private CrossCheck() {}

    /** Returns every problem of these files beside those in force that they don't replace. */
    public static List<Problem> check(
            Collection<ParsedFile> files, Collection<DeclarationFile> inForce) {
        var check = new CrossCheck();
        files.forEach(check::addName);
        inForce.stream().filter(f -> !check.mFiles.containsKey(f.name())).forEach(check::register);
        files.forEach(check::addFile);
        files.forEach(check::checkNames);
        return List.copyOf(check.mProblems);
    }

    private void addName(ParsedFile file) {
        var first = mFiles.putIfAbsent(file.file().name(), file);
        if (first != null) {
            var why = first.path() + " has the same name";
            add(file, "name", "name: " + file.file().name(), why, "a name of its own");
        }
    }

    private void addFile(ParsedFile file) {
        for (var clash : mIndex.clashesOf(file.file())) {
            add(file, lineKey(clash, file), clash, "it may be declared once only", "another one");
        }
        register(file.file());
    }

    private void register(DeclarationFile file) {
        mIndex.add(file);
        switch (file) {
            case DeclarationFile.TeamsFile f ->
                    f.teams().keySet().forEach(t -> mTeams.add(t.name()));
            case DeclarationFile.ModelFile f -> mTargets.add(f.name());
            case DeclarationFile.ServiceFile f -> mTargets.add(f.name());
            case DeclarationFile.TokenKeysFile f -> {
                // Nothing can name it.
            }
        }
    }

    private void checkNames(ParsedFile file) {
        switch (file.file()) {
            case DeclarationFile.ModelFile f -> checkGrants(file, f.teams());
            case DeclarationFile.ServiceFile f -> checkGrants(file, f.teams());
            case DeclarationFile.TeamsFile f ->
                    f.teams().values().forEach(team -> checkTargets(file, team.targets()));
            case DeclarationFile.TokenKeysFile f -> {
                // Names nothing.
            }
        }
    }

    private void checkGrants(ParsedFile file, Set<String> teams) {
        for (var team : teams) {
            if (!mTeams.contains(team)) {
                var why = "no teams file declares it";
                add(file, "grant:" + team, "team " + team, why, "a declared team, or declare it");
            }
        }
    }

    private void checkTargets(ParsedFile file, Set<String> targets) {
        for (var target : targets) {
            if (!mTargets.contains(target)) {
                var why = "no file declares a model or service of this name";
                add(file, "target:" + target, "target " + target, why, "a declared name");
            }
        }
    }

    private static String lineKey(String clash, ParsedFile file) {
        if (clash.startsWith("pool ")) {
            return "pool";
        }
        if (clash.startsWith("tokenKeys ")) {
            return "kind";
        }
        var words = clash.split(" ", -1);
        var team = clash.startsWith("team ") ? words[1] : words[4];
        return file.lines().containsKey("team:" + team) ? "team:" + team : "name";
    }

    private void add(ParsedFile file, String line, String what, String why, String instead) {
        mProblems.add(new Problem(file.path(), file.lineOf(line), what, why, instead));
    }
}
