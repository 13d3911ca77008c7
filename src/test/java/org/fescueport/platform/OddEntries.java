package org.fescueport.platform;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Named;

/** Entries of replicas as another writer may leave them in the store. */
final class OddEntries {
    /** Well above the size of any entry that a replica writes. */
    private static final int LARGE_BYTES = 250_000;

    private static final int MOST_DIGITS = 100_000;
    private static final int MAX_CHANGES = 4;

    private static final List<String> DEEP_FIELD_LEVELS = List.of("[", "{\"a\":");

    private static final List<String> WRONG_TYPES = List.of("null", "true", "[]", "{}", "[[7]]");

    private static final List<String> WRONG_ADDRESSES =
            List.of(
                    "",
                    ":",
                    ":8080",
                    "8080",
                    "10.0.0.9",
                    "10.0.0.9:",
                    "10.0.0.9:0",
                    "10.0.0.9:-1",
                    "10.0.0.9:+80",
                    "10.0.0.9:65536",
                    "10.0.0.9:99999999999",
                    "10.0.0.9:99999999999999999999999",
                    "10.0.0.9:8e3",
                    "10.0.0.9:80.0",
                    "10.0.0.9:80 ",
                    "10.0.0.9: 80",
                    " 10.0.0.9:80",
                    "10.0.0.9 :80",
                    "10.0.0.999:80",
                    "10.0.9:80",
                    "localhost:80",
                    "replica.example:80",
                    "[:80",
                    "]:80",
                    "[]:80",
                    "[::1:80",
                    "%:80",
                    "10.0.0.9:\\u0668\\u0660",
                    "10.0.0.9:80\\u0000",
                    "\\ud800:80");

    private static final List<String> WRONG_NUMBERS =
            List.of(
                    "1e400",
                    "-1e400",
                    "1e2147483647",
                    "1e-2147483647",
                    "1e99999999999",
                    "1" + "0".repeat(400),
                    "1" + "0".repeat(MOST_DIGITS),
                    "9223372036854775808",
                    "18446744073709551616",
                    "-9223372036854775809",
                    "0.5",
                    "NaN",
                    "Infinity",
                    "-Infinity",
                    "0x10",
                    "\"8\"",
                    "\"\"");

    private static final List<String> NUMBERS_OUT_OF_RANGE =
            List.of("-1", "1e18", "9223372036854775807", "-9223372036854775808");

    private OddEntries() {}

    /** Returns the entry of a replica that is ready. */
    static String good(int replica) {
        return """
                {"service":"api","address":"10.0.0.%d:8080","zone":"north","version":"v1",\
                "slots":8,"state":"ready","cold_remaining_ms":0,"seq":4,"born":1700000000000}"""
                .formatted(replica);
    }

    /** Returns values that name no replica to use. */
    static Stream<Named<byte[]>> unusableValues() {
        List<Named<byte[]>> values = new ArrayList<>();
        addBytes(values);
        addDeep(values);
        Map<String, String> fields = fields();
        fields.forEach(
                (name, value) -> {
                    for (var wrong : WRONG_TYPES) {
                        boolean isOptional = name.matches("born|seq|cold_remaining_ms");
                        if (!(isOptional && wrong.equals("null"))) {
                            add(values, name, value, wrong);
                        }
                    }
                });
        for (var name : List.of("slots", "born", "seq", "cold_remaining_ms")) {
            WRONG_NUMBERS.forEach(wrong -> add(values, name, fields.get(name), wrong));
        }
        for (var name : List.of("slots", "born")) {
            NUMBERS_OUT_OF_RANGE.forEach(wrong -> add(values, name, fields.get(name), wrong));
        }
        add(values, "seq", fields.get("seq"), "-1");
        for (var slots : List.of("2147483647", "2147483648", "4294967304")) {
            add(values, "slots", fields.get("slots"), slots);
        }
        for (var state : List.of("\"asleep\"", "\"\"", "\"READY\"", "7")) {
            add(values, "state", fields.get("state"), state);
        }
        WRONG_ADDRESSES.forEach(
                wrong -> add(values, "address", fields.get("address"), '"' + wrong + '"'));
        return values.stream();
    }

    /** Returns keys that no replica can have, whatever the value is. */
    static Stream<Named<String>> unusableKeys() {
        return Stream.of(
                Named.of("empty", ""),
                Named.of("NUL", "\u0000"),
                Named.of("line break", "i-1\r\nX-Other: 7"),
                Named.of("blank", "i 1"),
                Named.of("not UTF-8", new String(new byte[] {'i', (byte) 0xff}, UTF_8)),
                Named.of("lone surrogate", "i-\ud800"),
                Named.of("255 bytes not of ASCII", "\u00e9".repeat(127) + "a"),
                Named.of("DEL", "i-\u007f"));
    }

    /** Returns odd values that may name a replica; a decoder may accept or reject them. */
    static Stream<Named<byte[]>> doubtfulValues() {
        String good = good(9);
        return Stream.of(
                named("field twice", good.replace("{", "{\"address\":\"10.0.0.8:80\",")),
                named("field twice of other types", good.replace("{", "{\"slots\":[],")),
                named("unknown field, too large a number", good.replace("{", "{\"x\":1e400,")),
                named("IPv6", good.replace("10.0.0.9", "::1")),
                named("IPv6 in brackets", good.replace("10.0.0.9", "[::1]")),
                named("IPv6 with a scope", good.replace("10.0.0.9", "fe80::1%eth0")),
                named("service without a name", good.replace("\"api\"", "\"\"")),
                named("service of NUL", good.replace("\"api\"", "\"\\u0000\"")),
                named("service of a lone surrogate", good.replace("\"api\"", "\"\\ud800\"")),
                named("no start", good.replace("1700000000000", "null")),
                named("long behind", good + " ".repeat(LARGE_BYTES)),
                named("no slots", good.replace("\"slots\":8", "\"slots\":0")));
    }

    /** Returns a good entry with some bytes replaced, inserted or removed. */
    static byte[] mutated(byte[] good, Random random) {
        byte[] value = good.clone();
        int changes = 1 + random.nextInt(MAX_CHANGES);
        for (int i = 0; i < changes && value.length > 0; i++) {
            value = changedOnce(value, random);
        }
        return value;
    }

    private static byte[] changedOnce(byte[] value, Random random) {
        String text = new String(value, ISO_8859_1);
        int at = random.nextInt(text.length());
        int until = Math.min(text.length(), at + random.nextInt(6));
        String part =
                switch (random.nextInt(6)) {
                    case 0 -> "";
                    case 1 -> String.valueOf((char) random.nextInt(256));
                    case 2 -> pick(WRONG_NUMBERS.subList(0, 6), random);
                    case 3 -> pick(WRONG_TYPES, random);
                    case 4 -> pick(DEEP_FIELD_LEVELS, random).repeat(random.nextInt(2_000));
                    default -> pick(List.of("\"", "{", "}", "[", "]", ":", ",", "-", "e"), random);
                };
        return (text.substring(0, at) + part + text.substring(until)).getBytes(ISO_8859_1);
    }

    private static String pick(List<String> parts, Random random) {
        return parts.get(random.nextInt(parts.size()));
    }

    private static Map<String, String> fields() {
        return new HashMap<>(
                Map.of(
                        "service", "\"api\"",
                        "address", "\"10.0.0.9:8080\"",
                        "zone", "\"north\"",
                        "slots", "8",
                        "state", "\"ready\"",
                        "cold_remaining_ms", "0",
                        "seq", "4",
                        "born", "1700000000000"));
    }

    private static void add(List<Named<byte[]>> values, String name, String good, String wrong) {
        String field = "\"" + name + "\":";
        String label = wrong.length() > 40 ? wrong.length() + " characters" : wrong;
        String text = good(9).replace(field + good, field + wrong);
        values.add(named(name + " " + label.replace("\\", "u"), text));
    }

    private static void addBytes(List<Named<byte[]>> values) {
        String good = good(9);
        for (var text :
                List.of("", "null", "7", "[]", "\"x\"", "{", "}", "{}", "{}{}", "{'a':1}")) {
            values.add(named("text " + text, text));
        }
        values.add(named("a list", "[" + good + "]"));
        values.add(named("two entries", good + good));
        values.add(named("the first half", good.substring(0, good.length() / 2)));
        values.add(named("all but the end", good.substring(0, good.length() - 1)));
        values.add(named("large", "a".repeat(LARGE_BYTES)));
        values.add(named("large text", good.replace("north", "n".repeat(LARGE_BYTES))));
        values.add(named("large unknown text", good.replace("v1", "v".repeat(LARGE_BYTES))));
        values.add(named("many fields", "{" + "\"a\":1,".repeat(LARGE_BYTES / 6) + "\"b\":1}"));
        values.add(Named.of("NULs", new byte[300]));
        for (var bytes : List.of("\u00ff\u00fe", "\u00c0\u0080", "\u00ed\u00a0\u0080", "\u0000")) {
            byte[] value = good.replace("api", "a" + bytes).getBytes(ISO_8859_1);
            values.add(Named.of("service not of UTF-8, " + bytes.length() + " bytes", value));
        }
    }

    private static void addDeep(List<Named<byte[]>> values) {
        for (var level : DEEP_FIELD_LEVELS) {
            String end = level.equals("[") ? "]" : "}";
            for (var levels : List.of(33, 10_000, 1_000_000)) {
                String open = level.repeat(levels);
                String closed = open + "7" + end.repeat(levels);
                String label = levels + " times " + level;
                values.add(named(label + ", not closed", open));
                values.add(named(label, closed));
                values.add(named(label + " in a field", good(9).replace("\"v1\"", closed)));
                values.add(named(label + " in zone", good(9).replace("\"north\"", closed)));
            }
        }
    }

    private static Named<byte[]> named(String label, String text) {
        return Named.of(label, text.getBytes(UTF_8));
    }
}
