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
public final class CrossFileValidator {
    private final Map<String, ParsedFile> mFiles = new HashMap<>();
    private final List<Problem> mProblems = new ArrayList<>();
    private final UniquenessIndex mUniquenessIndex = new UniquenessIndex();
    private final Set<String> mTeams = new HashSet<>();
    private final Set<String> mTargets = new HashSet<>();

    private CrossFileValidator() {}

    /** Returns every problem of these files beside those in force that they don't replace. */
    public static List<Problem> validate(
            Collection<ParsedFile> files, Collection<DeclarationFile> inForce) {
        var validator = new CrossFileValidator();
        files.forEach(validator::registerName);
        inForce.stream()
                .filter(f -> !validator.mFiles.containsKey(f.name()))
                .forEach(validator::register);
        files.forEach(validator::validateUniqueness);
        files.forEach(validator::validateReferences);
        return List.copyOf(validator.mProblems);
    }

    private void registerName(ParsedFile file) {
        var first = mFiles.putIfAbsent(file.file().name(), file);
        if (first != null) {
            var why = first.path() + " has the same name";
            addProblem(file, "name", "name: " + file.file().name(), why, "a name of its own");
        }
    }

    private void validateUniqueness(ParsedFile file) {
        for (var conflict : mUniquenessIndex.conflictsOf(file.file())) {
            addProblem(
                    file,
                    lineKeyOf(conflict, file),
                    conflict,
                    "it may be declared once only",
                    "another one");
        }
        register(file.file());
    }

    private void register(DeclarationFile file) {
        mUniquenessIndex.add(file);
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

    private void validateReferences(ParsedFile file) {
        switch (file.file()) {
            case DeclarationFile.ModelFile f -> validatePermittedTeams(file, f.teams());
            case DeclarationFile.ServiceFile f -> validatePermittedTeams(file, f.teams());
            case DeclarationFile.TeamsFile f ->
                    f.teams().values().forEach(team -> validateTargets(file, team.targets()));
            case DeclarationFile.TokenKeysFile f -> {
                // Names nothing.
            }
        }
    }

    private void validatePermittedTeams(ParsedFile file, Set<String> teams) {
        for (var team : teams) {
            if (!mTeams.contains(team)) {
                var why = "no teams file declares it";
                addProblem(
                        file,
                        "grant:" + team,
                        "team " + team,
                        why,
                        "a declared team, or declare it");
            }
        }
    }

    private void validateTargets(ParsedFile file, Set<String> targets) {
        for (var target : targets) {
            if (!mTargets.contains(target)) {
                var why = "no file declares a model or service of this name";
                addProblem(file, "target:" + target, "target " + target, why, "a declared name");
            }
        }
    }

    private static String lineKeyOf(String conflict, ParsedFile file) {
        if (conflict.startsWith("pool ")) {
            return "pool";
        }
        if (conflict.startsWith("tokenKeys ")) {
            return "kind";
        }
        var words = conflict.split(" ", -1);
        var team = conflict.startsWith("team ") ? words[1] : words[4];
        return file.lines().containsKey("team:" + team) ? "team:" + team : "name";
    }

    private void addProblem(
            ParsedFile file, String line, String subject, String why, String suggestion) {
        mProblems.add(new Problem(file.path(), file.lineOf(line), subject, why, suggestion));
    }
}
