package org.fescueport.internal.load.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Compares what callers were told with what backend servers ran. */
final class SoakAudit {
    /** A router was killed, so its connections were lost. */
    record Kill(long atMillis, String target) {}

    /** Counts that must be 0. */
    static final List<String> FAULTS =
            List.of(
                    "duplicate_runs",
                    "wrong_answers",
                    "cut_answers",
                    "false_not_run",
                    "invariant_violations",
                    "unclean_exits");

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String VIOLATIONS = "fescue_invariant_violations_total";
    private static final long BEFORE_KILL_MILLIS = 100;
    private static final long AFTER_KILL_MILLIS = 3000;

    private final Map<String, Long> mRuns = new HashMap<>();
    private long mViolations;

    /** Adds the runs by key that one life of a plain service counted. */
    void addRuns(JsonNode runs) {
        runs.properties()
                .forEach(run -> mRuns.merge(run.getKey(), run.getValue().asLong(), Long::sum));
    }

    /** Adds the counters of one node, as its metrics print them. */
    void addMetrics(String metrics) {
        metrics.lines()
                .filter(line -> line.startsWith(VIOLATIONS))
                .map(line -> line.substring(line.lastIndexOf(' ') + 1))
                .forEach(value -> mViolations += (long) Double.parseDouble(value));
    }

    /** Returns the report on what the callers saw. */
    ObjectNode report(JsonNode seen, List<Kill> kills) {
        long cut = seen.path("cut_answers").asLong();
        long lostForNoReason = 0;
        for (JsonNode lost : seen.path("lost_connections")) {
            lostForNoReason += isExcused(lost, kills) ? 0 : 1;
        }
        ObjectNode report = JSON.createObjectNode();
        report.put("duplicate_runs", duplicateRuns());
        report.put("wrong_answers", seen.path("wrong_answers").asLong());
        report.put("cut_answers", cut + lostForNoReason);
        report.put("false_not_run", falseNotRun(seen.path("never_run")));
        report.put("invariant_violations", mViolations);
        report.put("bookings_run", mRuns.size());
        report.put("lost_connections", seen.path("lost_connections").size());
        report.put("lost_without_kill", lostForNoReason);
        report.set("outcomes", seen.path("outcomes"));
        report.set("details", seen.path("details"));
        return report;
    }

    static boolean hasFaults(JsonNode report) {
        return FAULTS.stream().anyMatch(name -> report.path(name).asLong() != 0);
    }

    private long duplicateRuns() {
        return mRuns.entrySet().stream()
                .filter(run -> !run.getKey().isEmpty())
                .mapToLong(run -> run.getValue() - 1)
                .sum();
    }

    private long falseNotRun(JsonNode keys) {
        long count = 0;
        for (JsonNode key : keys) {
            count += mRuns.containsKey(key.asText()) ? 1 : 0;
        }
        return count;
    }

    private static boolean isExcused(JsonNode lost, List<Kill> kills) {
        long at = lost.path("at").asLong();
        return kills.stream()
                .filter(kill -> kill.target().equals(lost.path("router").asText()))
                .anyMatch(
                        kill ->
                                at >= kill.atMillis() - BEFORE_KILL_MILLIS
                                        && at <= kill.atMillis() + AFTER_KILL_MILLIS);
    }
}
