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

/** Reads the fields of one mapping strictly and gathers every problem on the way. */
final class Fields {
    private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
    private static final Pattern DURATION = Pattern.compile("([0-9]{1,9})(ms|s|m|h|d)");
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,9}([.][0-9]{1,9})?");
    private static final Map<String, Long> MILLIS_PER_UNIT =
            Map.of("ms", 1L, "s", 1_000L, "m", 60_000L, "h", 3_600_000L, "d", 86_400_000L);
    private static final String NAME_FORM =
            "lower-case letters, digits, '.', '_' and '-', at most 63, the first a letter or digit";

    private final String mFile;
    private final List<Problem> mProblems;
    private final String mWhere;
    private final int mLine;
    private final Map<String, YamlNode.Entry> mEntries = new LinkedHashMap<>();

    private Fields(String file, List<Problem> problems, String where, int line) {
        mFile = file;
        mProblems = problems;
        mWhere = where;
        mLine = line;
    }

    /** Opens a mapping that may have the {@code known} fields only. */
    static Fields of(
            String file, List<Problem> problems, String where, YamlNode node, String... known) {
        var fields = new Fields(file, problems, where, node.line());
        if (!(node instanceof YamlNode.Mapping mapping)) {
            var form = "a mapping with " + String.join(", ", known);
            fields.problem(node.line(), where, "it must be a mapping", form);
            return fields;
        }
        for (var entry : mapping.entries()) {
            fields.take(entry, known);
        }
        return fields;
    }

    private void take(YamlNode.Entry entry, String... known) {
        if (known.length > 0 && !Arrays.asList(known).contains(entry.key())) {
            var nearest = nearest(entry.key(), known);
            var why = "it is no field of " + mWhere;
            problem(entry.line(), "field " + entry.key(), why, nearest);
        } else if (mEntries.putIfAbsent(entry.key(), entry) != null) {
            var why = "it stands twice in " + mWhere;
            problem(entry.line(), "field " + entry.key(), why, "it once");
        }
    }

    void problem(int line, String what, String why, String instead) {
        mProblems.add(new Problem(mFile, line, what, why, instead));
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

    /** Returns the text of a scalar; the empty text, with a problem, when there is none. */
    String text(String field, String form) {
        if (!has(field)) {
            var why = "it is missing in " + mWhere;
            problem(mLine, "field " + field, why, field + ": " + form);
            return "";
        }
        if (mEntries.get(field).value() instanceof YamlNode.Scalar scalar
                && !scalar.text().isBlank()) {
            return scalar.text();
        }
        var why = "it must be a single value";
        problem(lineOf(field), "field " + field, why, field + ": " + form);
        return "";
    }

    private <T> T parsed(String field, String form, T fallback, Function<String, T> parse) {
        var text = text(field, form);
        if (text.isEmpty()) {
            return fallback;
        }
        try {
            var value = parse.apply(text);
            if (value != null) {
                return value;
            }
        } catch (IllegalArgumentException e) {
            // Told below, in the reader's terms.
        }
        problem(lineOf(field), field + ": " + text, "it must be " + form, field + ": " + form);
        return fallback;
    }

    String name(String field) {
        return parsed(field, NAME_FORM, "", Fields::asName);
    }

    String name(YamlNode node, String what) {
        if (node instanceof YamlNode.Scalar scalar && asName(scalar.text()) != null) {
            return scalar.text();
        }
        problem(node.line(), what, "it must be a name", NAME_FORM);
        return "";
    }

    static String asName(String text) {
        return NAME.matcher(text).matches() ? text : null;
    }

    String entryName(YamlNode.Entry entry, String what) {
        return name(new YamlNode.Scalar(entry.line(), entry.key()), what + " " + entry.key());
    }

    int integer(String field, int least, int most) {
        var form = "a whole number from " + least + " to " + most;
        return parsed(
                field,
                form,
                least,
                text -> {
                    var value = Integer.parseInt(text);
                    return value >= least && value <= most ? value : null;
                });
    }

    double number(String field, double least, double most) {
        var form = "a number from " + least + " to " + most;
        return parsed(
                field,
                form,
                least,
                text -> {
                    if (!NUMBER.matcher(text).matches()) {
                        return null;
                    }
                    var value = Double.parseDouble(text);
                    return value >= least && value <= most ? value : null;
                });
    }

    boolean flag(String field) {
        return parsed(
                field,
                "true or false",
                false,
                text -> text.equals("true") || text.equals("false") ? text.equals("true") : null);
    }

    Duration duration(String field, Duration most) {
        var form = "a time above 0 and up to " + most.toSeconds() + "s, such as 500ms, 5s or 2m";
        return parsed(
                field,
                form,
                Duration.ofMillis(1),
                text -> {
                    var match = DURATION.matcher(text);
                    if (!match.matches()) {
                        return null;
                    }
                    var millis =
                            Long.parseLong(match.group(1)) * MILLIS_PER_UNIT.get(match.group(2));
                    return millis > 0 && millis <= most.toMillis()
                            ? Duration.ofMillis(millis)
                            : null;
                });
    }

    /** Returns a point in time in milliseconds since 1970. */
    long time(String field) {
        return parsed(field, "a time such as 2026-12-05T00:00:00Z", 0L, Fields::asMillis);
    }

    private static Long asMillis(String text) {
        try {
            return Instant.parse(text).toEpochMilli();
        } catch (DateTimeParseException e) {
            return null;
        }
    }

    /** Returns the items of a sequence; none, without a problem, when the field is absent. */
    List<YamlNode> items(String field) {
        if (!has(field)) {
            return List.of();
        }
        if (node(field) instanceof YamlNode.Sequence sequence && !sequence.items().isEmpty()) {
            return sequence.items();
        }
        problem(
                lineOf(field),
                "field " + field,
                "it must be a list with items",
                field + ": [a, b]");
        return List.of();
    }

    /** Returns the names in a sequence. */
    List<String> names(String field) {
        var names = new ArrayList<String>();
        for (var item : items(field)) {
            var name = name(item, "an item of " + field);
            if (names.contains(name)) {
                problem(item.line(), name, "it stands twice in " + field, "it once");
            }
            names.add(name);
        }
        names.remove("");
        return names;
    }

    private static String nearest(String key, String... known) {
        return Arrays.stream(known)
                .min(Comparator.comparingInt(name -> distance(key, name)))
                .filter(name -> distance(key, name) <= 3)
                .map(name -> name + " (the nearest field)")
                .orElse("one of " + String.join(", ", known));
    }

    private static int distance(String a, String b) {
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
