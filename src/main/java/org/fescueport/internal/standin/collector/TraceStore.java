package org.fescueport.internal.standin.collector;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The spans of the last traces. */
final class TraceStore {
    private static final int KEPT_TRACES = 2000;
    private static final int KEPT_SPANS = 200;

    private final LinkedHashMap<String, List<Span>> mTraces = new LinkedHashMap<>();

    synchronized void add(String traceId, Span span) {
        var spans = mTraces.computeIfAbsent(traceId, unused -> new ArrayList<>());
        if (spans.size() < KEPT_SPANS) {
            spans.add(span);
        }
        if (mTraces.size() > KEPT_TRACES) {
            mTraces.pollFirstEntry();
        }
    }

    /** Returns the spans of a trace; empty when it is not kept. */
    synchronized List<Span> spansOf(String traceId) {
        return List.copyOf(mTraces.getOrDefault(traceId, List.of()));
    }

    /** Returns how many spans each kept trace has. */
    synchronized Map<String, Integer> sizes() {
        var sizes = new LinkedHashMap<String, Integer>();
        mTraces.forEach((id, spans) -> sizes.put(id, spans.size()));
        return sizes;
    }
}
