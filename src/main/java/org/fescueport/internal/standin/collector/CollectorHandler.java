package org.fescueport.internal.standin.collector;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.opentelemetry.proto.collector.trace.v1.ExportTraceServiceRequest;
import io.opentelemetry.proto.trace.v1.ResourceSpans;
import java.util.HexFormat;
import java.util.Map;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.HttpHandler;
import org.fescueport.internal.standin.Json;

/** Receives spans by OTLP over HTTP and shows traces as text. */
public final class CollectorHandler implements HttpHandler {
    private static final String TRACES = "/v1/traces";
    private static final String SERVICE_NAME = "service.name";

    private final TraceStore mTraces = new TraceStore();

    private CollectorHandler() {}

    /** Returns a collector without traces. */
    public static CollectorHandler create() {
        return new CollectorHandler();
    }

    @Override
    public void handle(HttpExchange exchange) {
        var path = exchange.path();
        if (exchange.method().equals("POST") && path.equals(TRACES)) {
            receive(exchange);
        } else if (exchange.method().equals("GET") && path.equals(TRACES)) {
            Json.respond(exchange, 200, Json.of(mTraces.sizes()));
        } else if (exchange.method().equals("GET") && path.startsWith(TRACES + "/")) {
            show(exchange, path.substring(TRACES.length() + 1));
        } else {
            Json.respondError(exchange, 404, "not_found", "no such path");
        }
    }

    private void receive(HttpExchange exchange) {
        try {
            var request = ExportTraceServiceRequest.parseFrom(exchange.body());
            request.getResourceSpansList().forEach(this::store);
            exchange.respond(200, Map.of("Content-Type", "application/x-protobuf"), new byte[0]);
        } catch (InvalidProtocolBufferException e) {
            Json.respondError(exchange, 400, "bad_request", "not OTLP: " + e.getMessage());
        }
    }

    private void store(ResourceSpans resourceSpans) {
        var service = serviceName(resourceSpans);
        for (var scope : resourceSpans.getScopeSpansList()) {
            for (var span : scope.getSpansList()) {
                mTraces.add(
                        hex(span.getTraceId()),
                        new Span(
                                hex(span.getSpanId()),
                                hex(span.getParentSpanId()),
                                service,
                                span.getName(),
                                span.getStartTimeUnixNano(),
                                span.getEndTimeUnixNano()));
            }
        }
    }

    private void show(HttpExchange exchange, String traceId) {
        var spans = mTraces.spansOf(traceId);
        if (spans.isEmpty()) {
            Json.respondError(exchange, 404, "not_found", "no span of this trace was received");
        } else {
            Json.respondText(exchange, 200, TraceText.of(spans));
        }
    }

    private static String serviceName(ResourceSpans spans) {
        for (var attribute : spans.getResource().getAttributesList()) {
            if (attribute.getKey().equals(SERVICE_NAME)) {
                return attribute.getValue().getStringValue();
            }
        }
        return "unknown";
    }

    private static String hex(ByteString bytes) {
        return HexFormat.of().formatHex(bytes.toByteArray());
    }
}
