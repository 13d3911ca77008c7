package org.fescueport.internal.load.report;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * Reads what the bench has left: entries of its journal, each with the days of one score, and the
 * report file of one day.
 */
final class ResultFiles {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int VERSION_LENGTH = 7;

    /** Where an amount, a price and its worth stand in one line of prices. */
    private static final int PRICE_WORTH = 2;

    private ResultFiles() {}

    /** Returns the days of all scores of a site in a journal's folder, the oldest first. */
    static List<DayRun> readJournal(Path folder, String site) throws ReportException {
        List<Path> files;
        try (Stream<Path> entries = Files.list(folder)) {
            files = entries.filter(file -> file.toString().endsWith(".json")).sorted().toList();
        } catch (IOException e) {
            throw ReportException.of(folder, "the folder cannot be read", e);
        }
        List<DayRun> days = new ArrayList<>();
        for (var file : files) {
            JsonNode entry = read(file);
            boolean scored = entry.path("cmd").asText().equals("score");
            if (scored && entry.path("site").asText().equals(site)) {
                addDays(file, entry, days);
            }
        }
        return days;
    }

    /** Returns the day of a report file, which does not tell its name or version. */
    static DayRun readRun(Path file) throws ReportException {
        JsonNode run = read(file);
        return new DayRun(
                "",
                file.getFileName().toString(),
                "",
                "",
                number(file, run, "G"),
                losses(file, run),
                shares(run.path("classes")),
                shares(run.path("zones")),
                shares(run.path("windows")));
    }

    private static void addDays(Path file, JsonNode entry, List<DayRun> days)
            throws ReportException {
        String head = entry.path("head").asText();
        for (var day : entry.path("days")) {
            days.add(
                    new DayRun(
                            entry.path("site").asText(),
                            day.path("name").asText(),
                            head.substring(0, Math.min(VERSION_LENGTH, head.length())),
                            entry.path("at").path(0).asText(),
                            number(file, day, "G"),
                            losses(file, day),
                            numbered("class", day.path("by_class")),
                            numbered("zone", day.path("by_zone")),
                            List.of()));
        }
    }

    private static JsonNode read(Path file) throws ReportException {
        try {
            JsonNode tree = JSON.readTree(file.toFile());
            if (tree == null || !tree.isObject()) {
                throw ReportException.of(file, "it is no JSON object");
            }
            return tree;
        } catch (IOException e) {
            throw ReportException.of(file, "it cannot be read as JSON", e);
        }
    }

    private static double number(Path file, JsonNode node, String field) throws ReportException {
        JsonNode value = node.path(field);
        if (!value.isNumber()) {
            throw ReportException.of(file, "field '" + field + "' is no number");
        }
        return value.asDouble();
    }

    private static List<Loss> losses(Path file, JsonNode day) throws ReportException {
        List<Loss> losses = new ArrayList<>();
        for (var price : day.path("prices")) {
            if (!price.path(PRICE_WORTH).isNumber()) {
                throw ReportException.of(file, "a line of 'prices' has no worth");
            }
            losses.add(new Loss(price.path(0).asText(), price.path(PRICE_WORTH).asDouble()));
        }
        return losses;
    }

    private static List<Share> shares(JsonNode items) {
        List<Share> shares = new ArrayList<>();
        for (var item : items) {
            if (item.path("worth").isNumber()) {
                shares.add(new Share(item.path("name").asText(), item.path("worth").asDouble()));
            }
        }
        return shares;
    }

    /** The journal keeps the order of classes and zones, and not their names. */
    private static List<Share> numbered(String kind, JsonNode values) {
        List<Share> shares = new ArrayList<>();
        for (int i = 0; i < values.size(); i++) {
            if (values.get(i).isNumber()) {
                shares.add(new Share(kind + " " + (i + 1), values.get(i).asDouble()));
            }
        }
        return shares;
    }
}
