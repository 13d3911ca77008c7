package org.fescueport.internal.decision.config;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.fescueport.internal.decision.ModelDeclaration;
import org.fescueport.internal.decision.OperationDeclaration;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.ServiceDeclaration;
import org.fescueport.internal.decision.TeamDeclaration;
import org.fescueport.internal.decision.TeamId;
import org.fescueport.internal.decision.TokenKeyDeclaration;
import org.fescueport.internal.decision.WorkKind;

/**
 * Parses one declaration file. Unknown fields and values of the wrong form are problems, and all
 * problems of a file are reported together.
 *
 * <pre>{@code
 * DeclarationParser.parse("booking.yaml", text)
 *         .peekLeft(problems -> problems.forEach(System.err::println))
 *         .peek(parsed -> publish(parsed.file()));
 * }</pre>
 */
public final class DeclarationParser {
    /** The highest schema version that this release reads. */
    public static final int MAX_SCHEMA = 1;

    /** The kinds of declaration file, as listed in messages. */
    private static final String KINDS = "model, service, teams or tokenKeys";

    private static final int PRIORITY_MAX = 7;
    private static final int REPLICAS_MAX = 10_000;
    private static final double LOAD_BOUND_MIN = 1.05;
    private static final double LOAD_BOUND_MAX = 10;
    private static final double WEIGHT_MIN = 0.001;
    private static final double WEIGHT_MAX = 1_000_000;
    private static final Duration DEADLINE_MAX = Duration.ofDays(1);
    private static final Duration KEY_WINDOW_MAX = Duration.ofDays(1);
    private static final Pattern TOKEN_KEY_ID = Pattern.compile("[0-9]{1,3}");
    private static final Pattern KEY_HASH = Pattern.compile("[0-9a-f]{64}");

    private final String mPath;
    private final List<Problem> mProblems = new ArrayList<>();
    private final Map<String, Integer> mLines = new HashMap<>();

    private DeclarationParser(String path) {
        mPath = path;
    }

    /**
     * Parses the text of a declaration file.
     *
     * @param path the file's path, which is used only in messages
     * @return the parsed file, or all problems that were found in it
     */
    public static Either<List<Problem>, ParsedFile> parse(String path, String text) {
        var read = YamlReader.read(path, text);
        if (read.isLeft()) {
            return Either.left(List.of(read.getLeft()));
        }
        var parser = new DeclarationParser(path);
        var file = parser.file(read.get());
        if (!parser.mProblems.isEmpty()) {
            return Either.left(List.copyOf(parser.mProblems));
        }
        return Either.right(new ParsedFile(path, file, parser.mLines));
    }

    private DeclarationFile file(YamlNode root) {
        var head = FieldReader.of(mPath, mProblems, "the file", root);
        var schema = head.integer("schema", 1, Integer.MAX_VALUE);
        if (schema > MAX_SCHEMA) {
            var why = "this release reads schemas up to " + MAX_SCHEMA;
            head.addProblem(
                    head.lineOf("schema"), "schema: " + schema, why, "schema: " + MAX_SCHEMA);
            return null;
        }
        var kind = head.text("kind", KINDS);
        return switch (kind) {
            case "model" -> model(root);
            case "service" -> service(root);
            case "teams" -> teams(root);
            case "tokenKeys" -> tokenKeys(root);
            case "" -> null;
            default -> {
                var why = "this kind is unknown";
                head.addProblem(head.lineOf("kind"), "kind: " + kind, why, "kind: " + KINDS);
                yield null;
            }
        };
    }

    private FieldReader fields(String where, YamlNode node, String... allowed) {
        return FieldReader.of(mPath, mProblems, where, node, allowed);
    }

    private DeclarationFile model(YamlNode root) {
        var fields =
                fields(
                        "a model",
                        root,
                        "schema",
                        "kind",
                        "name",
                        "pool",
                        "artifact",
                        "replicas",
                        "loadBound",
                        "checksFencing",
                        "work",
                        "defaultWork",
                        "teams");
        var name = readName(fields);
        var work = work(fields);
        var defaultWork = fields.name("defaultWork");
        if (!defaultWork.isEmpty() && !work.containsKey(defaultWork)) {
            var expected = "defaultWork: one of " + work.keySet();
            var line = fields.lineOf("defaultWork");
            fields.addProblem(line, defaultWork, "work declares no kind of this name", expected);
        }
        var model =
                new ModelDeclaration(
                        name,
                        pool(fields),
                        fields.number("loadBound", LOAD_BOUND_MIN, LOAD_BOUND_MAX),
                        work,
                        defaultWork,
                        fields.flag("checksFencing"),
                        fields.integer("replicas", 1, REPLICAS_MAX),
                        fields.text("artifact", "the artifact's name in the weight store"));
        return new DeclarationFile.ModelFile(model, permittedTeams(fields));
    }

    private DeclarationFile service(YamlNode root) {
        var fields =
                fields(
                        "a service",
                        root,
                        "schema",
                        "kind",
                        "name",
                        "pool",
                        "loadBound",
                        "checksFencing",
                        "operations",
                        "teams");
        var service =
                new ServiceDeclaration(
                        readName(fields),
                        pool(fields),
                        fields.number("loadBound", LOAD_BOUND_MIN, LOAD_BOUND_MAX),
                        operations(fields),
                        fields.flag("checksFencing"));
        return new DeclarationFile.ServiceFile(service, permittedTeams(fields));
    }

    private DeclarationFile teams(YamlNode root) {
        var fields = fields("a teams file", root, "schema", "kind", "name", "teams");
        var name = readName(fields);
        var teams = new ArrayList<TeamDeclaration>();
        var teamsByKeyHash = new HashMap<String, String>();
        for (var entry : requiredEntries(fields, "teams")) {
            teams.add(team(fields, entry, teamsByKeyHash));
        }
        return DeclarationFile.TeamsFile.of(name, teams);
    }

    private DeclarationFile tokenKeys(YamlNode root) {
        var fields = fields("token keys", root, "schema", "kind", "name", "signs", "accepted");
        mLines.put("kind", fields.lineOf("kind"));
        var name = readName(fields);
        var signs = fields.integer("signs", 0, TokenKeyDeclaration.MAX_ID);
        var keys = new TokenKeyDeclaration(signs, acceptedKeys(fields, signs));
        return new DeclarationFile.TokenKeysFile(name, keys);
    }

    private Map<Integer, Long> acceptedKeys(FieldReader keys, int signs) {
        var accepted = new HashMap<Integer, Long>();
        if (!keys.has("accepted")) {
            return accepted;
        }
        var fields = fields("accepted", keys.node("accepted"));
        for (var entry : fields.entries()) {
            var isId = TOKEN_KEY_ID.matcher(entry.key()).matches();
            var id = isId ? Integer.parseInt(entry.key()) : signs;
            if (id == signs || id > TokenKeyDeclaration.MAX_ID) {
                var why = "it must be the id of a former key";
                fields.addProblem(
                        entry.line(), "key " + entry.key(), why, "0 to 255, not " + signs);
            } else {
                accepted.put(id, fields.time(entry.key()));
            }
        }
        return accepted;
    }

    private TeamDeclaration team(
            FieldReader teams, YamlNode.Entry entry, Map<String, String> teamsByKeyHash) {
        var name = teams.entryName(entry, "team");
        mLines.put("team:" + name, entry.line());
        var where = "team " + name;
        var fields = fields(where, entry.value(), "weight", "keyHashes", "targets");
        var weight = fields.number("weight", WEIGHT_MIN, WEIGHT_MAX);
        var hashes = keyHashes(fields, name, teamsByKeyHash);
        var targets = fields.names("targets");
        targets.forEach(target -> mLines.put("target:" + target, fields.lineOf("targets")));
        return new TeamDeclaration(TeamId.of(name), weight, hashes, Set.copyOf(targets));
    }

    private Set<String> keyHashes(
            FieldReader fields, String team, Map<String, String> teamsByKeyHash) {
        var hashes = new HashSet<String>();
        if (!fields.has("keyHashes")) {
            fields.text("keyHashes", "[SHA-256 of an API key]");
        }
        for (var item : fields.items("keyHashes")) {
            var hash = item instanceof YamlNode.Scalar scalar ? scalar.text() : "";
            if (!KEY_HASH.matcher(hash).matches()) {
                var why = "it must be the SHA-256 of an API key, never the key itself";
                var expected = "64 lower-case hex digits: printf %s \"$KEY\" | sha256sum";
                fields.addProblem(item.line(), "a key hash of team " + team, why, expected);
                continue;
            }
            var holder = teamsByKeyHash.putIfAbsent(hash, team);
            if (holder != null) {
                var why = "team " + holder + " has the same key";
                fields.addProblem(
                        item.line(), "a key hash of team " + team, why, "a key of its own");
            }
            mLines.put("key:" + hash, item.line());
            hashes.add(hash);
        }
        return hashes;
    }

    private String readName(FieldReader fields) {
        mLines.put("name", fields.lineOf("name"));
        return fields.name("name");
    }

    private PoolId pool(FieldReader fields) {
        mLines.put("pool", fields.lineOf("pool"));
        return PoolId.of(fields.name("pool"));
    }

    private Set<String> permittedTeams(FieldReader fields) {
        var teams = fields.names("teams");
        teams.forEach(team -> mLines.put("grant:" + team, fields.lineOf("teams")));
        return Set.copyOf(teams);
    }

    private List<YamlNode.Entry> requiredEntries(FieldReader fields, String name) {
        if (fields.node(name) instanceof YamlNode.Mapping mapping && !mapping.entries().isEmpty()) {
            return fields(name, mapping).entries();
        }
        var line = fields.lineOf(name);
        fields.addProblem(
                line,
                "field " + name,
                "it must be a mapping with one or more entries",
                name + ": …");
        return List.of();
    }

    private Map<String, WorkKind> work(FieldReader model) {
        var kinds = new LinkedHashMap<String, WorkKind>();
        for (var entry : requiredEntries(model, "work")) {
            var name = model.entryName(entry, "kind of work");
            var fields = fields("work " + name, entry.value(), "priority", "deadline");
            kinds.put(name, workKind(name, fields));
        }
        return kinds;
    }

    private static WorkKind workKind(String name, FieldReader fields) {
        var priority = fields.integer("priority", 0, PRIORITY_MAX);
        return new WorkKind(name, priority, fields.duration("deadline", DEADLINE_MAX));
    }

    private Map<String, OperationDeclaration> operations(FieldReader service) {
        var operations = new LinkedHashMap<String, OperationDeclaration>();
        for (var entry : requiredEntries(service, "operations")) {
            var name = service.entryName(entry, "operation");
            operations.put(name, operation(name, entry.value()));
        }
        return operations;
    }

    private OperationDeclaration operation(String name, YamlNode node) {
        var where = "operation " + name;
        var fields = fields(where, node, "idempotent", "keyWindow", "priority", "deadline");
        var idempotent = fields.flag("idempotent");
        var window = Duration.ZERO;
        if (!idempotent) {
            window = fields.duration("keyWindow", KEY_WINDOW_MAX);
        } else if (fields.has("keyWindow")) {
            var why = "an idempotent operation needs no key";
            var line = fields.lineOf("keyWindow");
            fields.addProblem(line, "field keyWindow", why, "idempotent: false, or no keyWindow");
        }
        return new OperationDeclaration(name, idempotent, workKind(name, fields), window);
    }
}
