package org.fescueport.internal.direct;

import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.concurrent.TimeUnit;

/** The meters of a registry as text, a line for each figure: its name, its tags, its value. */
public final class MetersText {
    private MetersText() {}

    /** Returns the text; times are in seconds, histograms count what was at most as long. */
    public static String of(MeterRegistry registry) {
        var text = new StringBuilder(1_024);
        registry.getMeters().forEach(meter -> append(text, meter));
        return text.toString();
    }

    private static void append(StringBuilder text, Meter meter) {
        if (meter instanceof Timer timer) {
            appendBuckets(text, timer);
        }
        for (var measurement : meter.measure()) {
            String name =
                    name(meter) + "_" + measurement.getStatistic().getTagValueRepresentation();
            appendLine(text, name, tags(meter), measurement.getValue());
        }
    }

    private static void appendBuckets(StringBuilder text, Timer timer) {
        for (var bucket : timer.takeSnapshot().histogramCounts()) {
            String limit = "le=\"" + bucket.bucket(TimeUnit.SECONDS) + "\"";
            appendLine(text, name(timer) + "_bucket", limit, bucket.count());
        }
    }

    private static void appendLine(StringBuilder text, String name, String tags, double value) {
        text.append(name);
        if (!tags.isEmpty()) {
            text.append('{').append(tags).append('}');
        }
        text.append(' ').append(value).append('\n');
    }

    private static String name(Meter meter) {
        return meter.getId().getName().replace('.', '_');
    }

    private static String tags(Meter meter) {
        var tags = new StringBuilder();
        for (var tag : meter.getId().getTags()) {
            tags.append(tags.isEmpty() ? "" : ",");
            tags.append(tag.getKey()).append("=\"").append(tag.getValue()).append('"');
        }
        return tags.toString();
    }
}
