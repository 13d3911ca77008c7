package org.fescueport.internal.standin.collector;

/** One span as it was received. */
record Span(
        String id, String parentId, String service, String name, long startNanos, long endNanos) {}
