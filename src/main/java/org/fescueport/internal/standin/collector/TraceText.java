package org.fescueport.internal.standin.collector;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A trace as an indented text, children under their parents.
 *
 * <pre>{@code
 * fescue-router  chat  +0.0 ms  12.3 ms
 *   fescue-agent  generate  +1.1 ms  10.9 ms
 * }</pre>
 */
final class TraceText {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final Comparator<Span> BY_START = Comparator.comparingLong(Span::startNanos);

    private final List<Span> mSpans;
    private final long mStartNanos;
    private final StringBuilder mText = new StringBuilder();

    private TraceText(List<Span> spans) {
        mSpans = spans.stream().sorted(BY_START).toList();
        mStartNanos = spans.stream().mapToLong(Span::startNanos).min().orElse(0);
    }

    /** Returns the text; spans whose parent is not known are roots. */
    static String of(List<Span> spans) {
        return new TraceText(spans).write();
    }

    private String write() {
        Set<String> ids = mSpans.stream().map(Span::id).collect(Collectors.toSet());
        for (var span : mSpans) {
            if (!ids.contains(span.parentId())) {
                write(span, 0);
            }
        }
        return mText.toString();
    }

    private void write(Span span, int depth) {
        mText.append("  ".repeat(depth))
                .append(
                        String.format(
                                Locale.ROOT,
                                "%s  %s  +%.1f ms  %.1f ms%n",
                                span.service(),
                                span.name(),
                                (span.startNanos() - mStartNanos) / NANOS_PER_MILLI,
                                (span.endNanos() - span.startNanos()) / NANOS_PER_MILLI));
        for (var child : mSpans) {
            if (child.parentId().equals(span.id()) && depth < mSpans.size()) {
                write(child, depth + 1);
            }
        }
    }
}
