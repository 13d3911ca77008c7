package org.fescueport.internal.decision.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Validates declaration files against each other and against the declarations in force.
 *
 * <p>{@link ConfigFold} too accepts only one declaration of each file name, pool, team and key. It
 * does accept a reference to a team or target that is not declared: the reference has no effect,
 * and someone else may publish the declaration later. Undeclared references are therefore rejected
 * only here, before publishing.
 */
public final class CrossFileValidator {
    private final Map<String, ParsedFile> mFiles = new HashMap<>();
    private final List<Problem> mProblems = new ArrayList<>();
    private final UniquenessIndex mUniquenessIndex = new UniquenessIndex();
    private final Set<String> mTeams = new HashSet<>();
    private final Set<String> mTargets = new HashSet<>();

    private CrossFileValidator() {}

    /**
     * Returns all problems of these files.
     *
     * @param files the files to be published together
     * @param inForce the files in force; those with the name of a file in {@code files} are
     *     replaced by it and are ignored
     */
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
                    "it must be declared only once",
                    "a different one");
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
                // No other file refers to token keys.
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
                // Token keys refer to no other file.
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
                        "a team that a teams file declares");
            }
        }
    }

    private void validateTargets(ParsedFile file, Set<String> targets) {
        for (var target : targets) {
            if (!mTargets.contains(target)) {
                var why = "no file declares a model or service of this name";
                addProblem(
                        file,
                        "target:" + target,
                        "target " + target,
                        why,
                        "the name of a declared model or service");
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
            ParsedFile file, String line, String subject, String why, String expected) {
        mProblems.add(new Problem(file.path(), file.lineOf(line), subject, why, expected));
    }
}
