package org.fescueport.internal.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.fescueport.internal.load.LoadRecorder.Ending;

/** Writes what a recorder holds, for people and as JSON. */
final class LoadReport {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double MICROS_PER_MILLI = 1000;

    private LoadReport() {}

    static ObjectNode object() {
        return JSON.createObjectNode();
    }

    /** Returns a table of one target. */
    static String table(String title, LoadRecorder recorder, int seconds) {
        StringBuilder table = new StringBuilder(title).append('\n');
        for (Ending ending : Ending.values()) {
            line(table, ending.name().toLowerCase(Locale.ROOT), recorder.count(ending));
        }
        recorder.statuses().forEach((status, count) -> line(table, "status " + status, count));
        line(table, "whole a second", Math.round(perSecond(recorder, seconds)));
        latencies(table, "whole answer", recorder.total());
        latencies(table, "first token", recorder.firstToken());
        latencies(table, "between tokens", recorder.betweenTokens());
        return table.toString();
    }

    /** Returns the same as JSON; a latency that was never seen is null. */
    static ObjectNode json(LoadRecorder recorder, int seconds) {
        ObjectNode node = object();
        node.put("requests_per_second", perSecond(recorder, seconds));
        node.put("whole_answers", recorder.count(Ending.WHOLE));
        node.put("cut_answers", recorder.count(Ending.CUT));
        node.put("wrong_answers", recorder.count(Ending.WRONG));
        node.put("refused", recorder.count(Ending.REFUSED));
        node.put("failed", recorder.count(Ending.FAILED));
        recorder.statuses().forEach(node.putObject("statuses")::put);
        node.put("prompt_tokens", recorder.promptTokens());
        node.put("cached_tokens", recorder.cachedTokens());
        node.put("completion_tokens", recorder.completionTokens());
        putLatencies(node, "total", recorder.total());
        putLatencies(node, "first_token", recorder.firstToken());
        putLatencies(node, "between_tokens", recorder.betweenTokens());
        putMillis(node, "others_before_surge_p95_ms", recorder.othersBeforeSurge(), 95);
        putMillis(node, "others_in_surge_p95_ms", recorder.othersInSurge(), 95);
        return node;
    }

    /** Returns a percentile in milliseconds. */
    static double millis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
    }

    private static double perSecond(LoadRecorder recorder, int seconds) {
        return recorder.count(Ending.WHOLE) / (double) Math.max(1, seconds);
    }

    private static void putLatencies(ObjectNode node, String name, Histogram histogram) {
        putMillis(node, name + "_p50_ms", histogram, 50);
        putMillis(node, name + "_p95_ms", histogram, 95);
        putMillis(node, name + "_p99_ms", histogram, 99);
    }

    private static void putMillis(
            ObjectNode node, String name, Histogram histogram, double percentile) {
        if (histogram.getTotalCount() == 0) {
            node.putNull(name);
        } else {
            node.put(name, millis(histogram, percentile));
        }
    }

    private static void line(StringBuilder table, String name, long value) {
        table.append(String.format(Locale.ROOT, "  %-40s %12d%n", name, value));
    }

    private static void latencies(StringBuilder table, String name, Histogram histogram) {
        if (histogram.getTotalCount() == 0) {
            return;
        }
        table.append(
                String.format(
                        Locale.ROOT,
                        "  %-40s p50 %.2f  p95 %.2f  p99 %.2f  most %.2f%n",
                        name + " (ms)",
                        millis(histogram, 50),
                        millis(histogram, 95),
                        millis(histogram, 99),
                        histogram.getMaxValue() / MICROS_PER_MILLI));
    }
}
