package org.fescueport.internal.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.fescueport.internal.settings.ExitCode;
import org.fescueport.internal.settings.SettingsReader;

/** Gathers the results of one {@code bin/measure} into a table and one JSON object. */
@Command(name = "measures", description = "Gathers results that bin/measure wrote to files")
public final class MeasuresCommand implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MOST_MILLIS = 600_000;

    /** Keys that every report has; null where nothing was measured. */
    private static final List<String> KEYS =
            List.of(
                    "cache_reuse",
                    "cache_reuse_oracle",
                    "cache_reuse_baselines",
                    "skew_max_over_mean",
                    "skew_bound",
                    "control_bytes_per_second_per_node",
                    "added_latency_p50_ms",
                    "added_latency_p99_ms",
                    "requests_per_second",
                    "config_in_force_seconds_max",
                    "drain_seconds_max",
                    "log_appends_per_second",
                    "duplicate_runs",
                    "wrong_answers",
                    "cut_answers",
                    "false_not_run");

    @AirlineModule private HelpOption<MeasuresCommand> mHelp;

    @Option(name = "--seed", title = "N", description = "Seed of the runs")
    private String mSeed;

    @Option(name = "--compare", title = "FILE", description = "Output of the command compare")
    private String mCompare;

    @Option(name = "--run", title = "FILE", description = "Output of the command run")
    private String mRun;

    @Option(
            name = "--experiment",
            title = "FILE",
            description = "Output of an experiment; may be given several times")
    private List<String> mExperiments = new ArrayList<>();

    @Option(
            name = "--config-in-force-millis",
            title = "N",
            description = "Time until a change was in force on every node")
    private String mConfigMillis;

    @Override
    public Integer call() {
        if (mHelp.showHelpIfRequested()) {
            return ExitCode.OK;
        }
        var reader = SettingsReader.of(System.getenv());
        int seed = reader.integer("--seed", mSeed, 1, 0, Integer.MAX_VALUE);
        int configMillis =
                reader.integer("--config-in-force-millis", mConfigMillis, -1, -1, MOST_MILLIS);
        reader.requireValid();
        var report = gather(lastLine(mCompare), lastLine(mRun), experiments());
        if (configMillis >= 0) {
            report.put("config_in_force_seconds_max", configMillis / 1000.0);
        }
        report.put("seed", seed);
        printTable(report);
        System.out.println(report);
        return ExitCode.OK;
    }

    /** Returns the JSON of all experiments in one object; a later one replaces equal keys. */
    private JsonNode experiments() {
        ObjectNode all = JSON.createObjectNode();
        for (String file : mExperiments) {
            lastLine(file).properties().forEach(entry -> all.set(entry.getKey(), entry.getValue()));
        }
        return all;
    }

    /** Returns the report; what an experiment names replaces null. */
    static ObjectNode gather(JsonNode compare, JsonNode run, JsonNode experiment) {
        ObjectNode report = JSON.createObjectNode();
        KEYS.forEach(report::putNull);
        for (String key : List.of("added_latency_p50_ms", "added_latency_p99_ms")) {
            putIfMeasured(report, key, compare.path(key));
        }
        JsonNode through = compare.path("through");
        putIfMeasured(report, "requests_per_second", through.path("requests_per_second"));
        for (String key : List.of("wrong_answers", "cut_answers")) {
            if (through.has(key) || run.has(key)) {
                report.put(key, through.path(key).asLong() + run.path(key).asLong());
            }
        }
        for (String key : KEYS) {
            putIfMeasured(report, key, experiment.path(key));
        }
        report.set("compare", compare);
        report.set("run", run);
        report.set("experiment", experiment);
        return report;
    }

    private static void putIfMeasured(ObjectNode report, String key, JsonNode value) {
        if (!value.isMissingNode() && !value.isNull()) {
            report.set(key, value);
        }
    }

    /** Returns the JSON of a file's last line, or an empty object when there is no file. */
    private static JsonNode lastLine(String file) {
        if (file == null) {
            return JSON.createObjectNode();
        }
        try {
            List<String> lines = Files.readAllLines(Path.of(file));
            return JSON.readTree(lines.isEmpty() ? "{}" : lines.get(lines.size() - 1));
        } catch (IOException e) {
            throw new UncheckedIOException("The last line of " + file + " is not JSON.", e);
        }
    }

    private static void printTable(ObjectNode report) {
        System.out.println("Measures");
        for (String key : KEYS) {
            JsonNode value = report.path(key);
            String text = value.isNull() ? "not measured" : value.toString();
            System.out.printf(Locale.ROOT, "  %-40s %s%n", key, text);
        }
    }
}
