package org.fescueport.internal.decision.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.fescueport.internal.decision.Declarations;
import org.fescueport.internal.decision.TokenKeyDeclaration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DeclarationParserTest {
    private static final String SERVICE =
            """
            schema: 1
            kind: service
            name: booking
            pool: booking
            loadBound: 2.0
            checksFencing: false
            operations:
              reserve: {idempotent: false, keyWindow: 10m, priority: 0, deadline: 10s}
            """;

    private static final String TOKEN_KEYS =
            """
            schema: 1
            kind: tokenKeys
            name: token-keys
            signs: 2
            accepted:
              1: 2026-12-05T00:00:00Z
            """;

    @ParameterizedTest
    @CsvSource({
        "loadBound: 2.0, loadBound: 0.5, 5, it must be a number",
        "loadBound: 2.0, loadBuond: 2.0, 5, it is not a field of a service",
        "pool: booking, pool: [], 4, it must be a single value",
        "name: booking, name: Booking!, 3, it must be lower-case",
        "kind: service, kind: thing, 2, this kind is unknown",
        "schema: 1, schema: 2, 1, this release reads schemas up to 1",
        "keyWindow: 10m, keyWindow: soon, 8, it must be a duration",
        "idempotent: false, idempotent: true, 8, an idempotent operation needs no key",
        "checksFencing: false, checksFencing: no, 6, it must be true or false",
        "pool: booking, name: booking, 4, it is declared twice",
        "pool: booking, pool: *x, 4, anchors",
        "loadBound: 2.0, 'loadBound: {', 7, not YAML",
    })
    void shouldReportLineAndReason(String right, String wrong, int line, String reason) {
        var problems = problemsOf(SERVICE.replace(right, wrong));
        var lines = problems.stream().map(Problem::line).toList();
        var texts = String.join("\n", problems.stream().map(Problem::toString).toList());
        assertThat(texts, lines, hasItem(line));
        assertThat(texts, containsString(reason));
    }

    @Test
    void shouldReportAllProblemsAtOnce() {
        var text =
                """
                schema: 1
                kind: model
                name: notes
                pool: notes
                artifact: notes-1
                replicas: none
                loadBound: 0
                checksFencing: yes
                work:
                  note: {priority: 9, deadline: 0s}
                defaultWork: tag
                """;
        var lines = problemsOf(text).stream().map(Problem::line).toList();
        assertThat(lines, containsInAnyOrder(6, 7, 8, 10, 10, 11));
    }

    @ParameterizedTest
    @CsvSource({
        "signs: 2, signs: 256, 4, it must be a whole number",
        "1: 2026-12-05T00:00:00Z, 2: 2026-12-05T00:00:00Z, 6, the id of a former key",
        "1: 2026-12-05T00:00:00Z, old: 2026-12-05T00:00:00Z, 6, the id of a former key",
        "1: 2026-12-05T00:00:00Z, 1: tomorrow, 6, it must be a time",
        "signs: 2, secret: 2, 4, it is not a field of token keys",
    })
    void shouldReportProblemsOfTokenKeys(String right, String wrong, int line, String why) {
        var problems = problemsOf(TOKEN_KEYS.replace(right, wrong));
        var texts = String.join("\n", problems.stream().map(Problem::toString).toList());
        assertThat(texts, problems.stream().map(Problem::line).toList(), hasItem(line));
        assertThat(texts, containsString(why));
    }

    @Test
    void shouldParseTokenKeys() {
        var file = DeclarationParser.parse("keys.yaml", TOKEN_KEYS).get().file();
        var until = java.time.Instant.parse("2026-12-05T00:00:00Z").toEpochMilli();
        var keys = new TokenKeyDeclaration(2, java.util.Map.of(1, until));
        assertThat(file, is(new DeclarationFile.TokenKeysFile("token-keys", keys)));
    }

    @Test
    void shouldRejectPlaintextKeyWithoutPrintingIt() {
        var text =
                """
                schema: 1
                kind: teams
                name: boards
                teams:
                  north: {weight: 1, keyHashes: [my-secret-key]}
                """;
        var problem = problemsOf(text).getFirst();
        assertThat(problem.expected(), containsString("sha256sum"));
        assertThat(problem.toString().contains("my-secret-key"), is(false));
    }

    @Test
    void shouldReportConflictsBetweenFiles() {
        var first = parsed("a/booking.yaml", SERVICE);
        var second = parsed("b/booking.yaml", SERVICE.replace("pool: booking", "pool: other"));
        var third = parsed("c.yaml", SERVICE.replace("name: booking", "name: cashier"));
        var fourth =
                parsed(
                        "d.yaml",
                        SERVICE.replace("name: booking", "name: d")
                                        .replace("pool: booking", "pool: d")
                                + "teams: [nobody]\n");
        var problems =
                CrossFileValidator.validate(List.of(first, second, third, fourth), List.of());
        var texts = problems.stream().map(Problem::toString).toList();
        assertThat(texts, hasItem(containsString("b/booking.yaml:3: name: booking")));
        assertThat(texts, hasItem(containsString("c.yaml:4: pool booking is already used")));
        assertThat(texts, hasItem(containsString("d.yaml:9: team nobody")));
        assertThat(texts, hasSize(3));
    }

    @ParameterizedTest
    @CsvSource({"instituto, 3, 1, 10, 8", "lakeshore, 3, 1, 10, 6", "demo, 1, 1, 2, 3"})
    void shouldAcceptTheExamples(String name, int models, int services, int teams, int replicas)
            throws IOException {
        var files = examples(name);
        assertThat(CrossFileValidator.validate(files, List.of()), is(List.of()));
        var fold = ConfigFold.empty();
        for (var file : files) {
            fold.apply(fold.position() + 1, ConfigRecords.change(0, file.file(), 1));
        }
        var declared = fold.declarations();
        assertThat(declared.models().size(), is(models));
        assertThat(declared.services().size(), is(services));
        assertThat(declared.teams().size(), is(teams));
        var totalReplicas = declared.models().values().stream().mapToInt(m -> m.replicas()).sum();
        assertThat(totalReplicas, is(replicas));
    }

    @Test
    void shouldDeclareHashesOfTheDemoKeys() throws IOException {
        var teams = (DeclarationFile.TeamsFile) examples("demo").get(2).file();
        var hashes = teams.teams().values().stream().flatMap(t -> t.keyHashes().stream()).toList();
        assertThat(
                hashes,
                containsInAnyOrder(
                        Declarations.hashApiKey("demo-water-key"),
                        Declarations.hashApiKey("demo-garage-key")));
    }

    private static List<ParsedFile> examples(String name) throws IOException {
        try (var paths = Files.list(Path.of("examples", name))) {
            return paths.sorted().map(DeclarationParserTest::parsed).toList();
        }
    }

    private static ParsedFile parsed(Path path) {
        try {
            return parsed(path.toString(), Files.readString(path));
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static ParsedFile parsed(String path, String text) {
        var parsed = DeclarationParser.parse(path, text);
        assertThat(parsed.isLeft() ? parsed.getLeft() : List.of(), is(List.of()));
        return parsed.get();
    }

    private static List<Problem> problemsOf(String text) {
        return DeclarationParser.parse("f.yaml", text).getLeft();
    }
}
