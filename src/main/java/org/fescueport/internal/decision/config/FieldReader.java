package org.fescueport.internal.decision.config;

import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.regex.Pattern;

/**
 * Reads the fields of one YAML mapping and collects every problem that it finds.
 *
 * <p>A method that reads a missing or invalid value adds a problem and returns a placeholder, so
 * that the caller can continue and report all problems together.
 */
final class FieldReader {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
    private static final Pattern DURATION = Pattern.compile("([0-9]{1,9})(ms|s|m|h|d)");
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,9}([.][0-9]{1,9})?");
    private static final Map<String, Long> MILLIS_PER_UNIT =
            Map.of("ms", 1L, "s", 1_000L, "m", 60_000L, "h", 3_600_000L, "d", 86_400_000L);
    private static final String NAME_FORMAT =
            "lower-case letters, digits, '.', '_' and '-', at most 63, the first a letter or digit";

    private final String mFile;
    private final List<Problem> mProblems;
    private final String mWhere;
    private final int mLine;
    private final Map<String, YamlNode.Entry> mEntries = new LinkedHashMap<>();

    private FieldReader(String file, List<Problem> problems, String where, int line) {
        mFile = file;
        mProblems = problems;
        mWhere = where;
        mLine = line;
    }

    /**
     * Returns a reader for a mapping.
     *
     * @param problems the list to which this reader adds problems
     * @param where what the mapping describes, for messages
     * @param allowed the only fields that the mapping may have; none to allow every field
     */
    static FieldReader of(
            String file, List<Problem> problems, String where, YamlNode node, String... allowed) {
        var fields = new FieldReader(file, problems, where, node.line());
        if (!(node instanceof YamlNode.Mapping mapping)) {
            var expectedFormat = "a mapping with " + String.join(", ", allowed);
            fields.addProblem(node.line(), where, "it must be a mapping", expectedFormat);
            return fields;
        }
        for (var entry : mapping.entries()) {
            fields.addEntry(entry, allowed);
        }
        return fields;
    }

    private void addEntry(YamlNode.Entry entry, String... allowed) {
        if (allowed.length > 0 && !Arrays.asList(allowed).contains(entry.key())) {
            var closest = closestField(entry.key(), allowed);
            var why = "it is not a field of " + mWhere;
            addProblem(entry.line(), "field " + entry.key(), why, closest);
        } else if (mEntries.putIfAbsent(entry.key(), entry) != null) {
            var why = "it is declared twice in " + mWhere;
            addProblem(entry.line(), "field " + entry.key(), why, "a single entry");
        }
    }

    void addProblem(int line, String subject, String why, String expected) {
        mProblems.add(new Problem(mFile, line, subject, why, expected));
    }

    boolean has(String field) {
        return mEntries.containsKey(field);
    }

    int lineOf(String field) {
        return has(field) ? mEntries.get(field).line() : mLine;
    }

    List<YamlNode.Entry> entries() {
        return List.copyOf(mEntries.values());
    }

    YamlNode node(String field) {
        return has(field) ? mEntries.get(field).value() : null;
    }

    /** Returns the text of a scalar; adds a problem and returns the empty text if it is missing. */
    String text(String field, String expectedFormat) {
        if (!has(field)) {
            var why = "it is missing in " + mWhere;
            addProblem(mLine, "field " + field, why, field + ": " + expectedFormat);
            return "";
        }
        if (mEntries.get(field).value() instanceof YamlNode.Scalar scalar
                && !scalar.text().isBlank()) {
            return scalar.text();
        }
        var why = "it must be a single value";
        addProblem(lineOf(field), "field " + field, why, field + ": " + expectedFormat);
        return "";
    }

    private <T> T parseField(
            String field, String expectedFormat, T fallback, Function<String, T> parse) {
        var text = text(field, expectedFormat);
        if (text.isEmpty()) {
            return fallback;
        }
        try {
            var value = parse.apply(text);
            if (value != null) {
                return value;
            }
        } catch (IllegalArgumentException e) {
            // The problem below states the expected format instead of the parser's message.
        }
        addProblem(
                lineOf(field),
                field + ": " + text,
                "it must be " + expectedFormat,
                field + ": " + expectedFormat);
        return fallback;
    }

    String name(String field) {
        return parseField(field, NAME_FORMAT, "", FieldReader::nameOrNull);
    }

    String name(YamlNode node, String subject) {
        if (node instanceof YamlNode.Scalar scalar && nameOrNull(scalar.text()) != null) {
            return scalar.text();
        }
        addProblem(node.line(), subject, "it must be a name", NAME_FORMAT);
        return "";
    }

    static String nameOrNull(String text) {
        return NAME.matcher(text).matches() ? text : null;
    }

    String entryName(YamlNode.Entry entry, String subject) {
        return name(new YamlNode.Scalar(entry.line(), entry.key()), subject + " " + entry.key());
    }

    int integer(String field, int minimum, int maximum) {
        var expectedFormat = "a whole number from " + minimum + " to " + maximum;
        return parseField(
                field,
                expectedFormat,
                minimum,
                text -> {
                    var value = Integer.parseInt(text);
                    return value >= minimum && value <= maximum ? value : null;
                });
    }

    double number(String field, double minimum, double maximum) {
        var expectedFormat = "a number from " + minimum + " to " + maximum;
        return parseField(
                field,
                expectedFormat,
                minimum,
                text -> {
                    if (!NUMBER.matcher(text).matches()) {
                        return null;
                    }
                    var value = Double.parseDouble(text);
                    return value >= minimum && value <= maximum ? value : null;
                });
    }

    boolean flag(String field) {
        return parseField(
                field,
                "true or false",
                false,
                text -> text.equals("true") || text.equals("false") ? text.equals("true") : null);
    }

    Duration duration(String field, Duration maximum) {
        var expectedFormat =
                "a duration above 0 and up to "
                        + maximum.toSeconds()
                        + "s, such as 500ms, 5s or 2m";
        return parseField(
                field,
                expectedFormat,
                Duration.ofMillis(1),
                text -> {
                    var match = DURATION.matcher(text);
                    if (!match.matches()) {
                        return null;
                    }
                    var millis =
                            Long.parseLong(match.group(1)) * MILLIS_PER_UNIT.get(match.group(2));
                    return millis > 0 && millis <= maximum.toMillis()
                            ? Duration.ofMillis(millis)
                            : null;
                });
    }

    /** Returns a point in time, in milliseconds since the Unix epoch. */
    long time(String field) {
        return parseField(
                field, "a time such as 2026-12-05T00:00:00Z", 0L, FieldReader::millisOrNull);
    }

    private static Long millisOrNull(String text) {
        try {
            return Instant.parse(text).toEpochMilli();
        } catch (DateTimeParseException e) {
            return null;
        }
    }

    /** Returns the items of a sequence; an absent field has no items and is no problem. */
    List<YamlNode> items(String field) {
        if (!has(field)) {
            return List.of();
        }
        if (node(field) instanceof YamlNode.Sequence sequence && !sequence.items().isEmpty()) {
            return sequence.items();
        }
        addProblem(
                lineOf(field),
                "field " + field,
                "it must be a list with one or more items",
                field + ": [a, b]");
        return List.of();
    }

    /** Returns the valid names in a sequence; adds a problem for each invalid or repeated one. */
    List<String> names(String field) {
        var names = new ArrayList<String>();
        for (var item : items(field)) {
            var name = name(item, "an item of " + field);
            if (names.contains(name)) {
                addProblem(item.line(), name, "it is listed twice in " + field, "a single entry");
            }
            names.add(name);
        }
        names.remove("");
        return names;
    }

    private static String closestField(String key, String... allowed) {
        return Arrays.stream(allowed)
                .min(Comparator.comparingInt(name -> editDistance(key, name)))
                .filter(name -> editDistance(key, name) <= 3)
                .map(name -> name + " (the closest field name)")
                .orElse("one of " + String.join(", ", allowed));
    }

    private static int editDistance(String a, String b) {
        var row = new int[b.length() + 1];
        for (var j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (var i = 1; i <= a.length(); i++) {
            var diagonal = row[0];
            row[0] = i;
            for (var j = 1; j <= b.length(); j++) {
                var cost = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
                var next = Math.min(Math.min(row[j], row[j - 1]) + 1, diagonal + cost);
                diagonal = row[j];
                row[j] = next;
            }
        }
        return row[b.length()];
    }
}
