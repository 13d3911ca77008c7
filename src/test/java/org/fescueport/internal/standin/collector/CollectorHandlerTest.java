package org.fescueport.internal.standin.collector;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.protobuf.ByteString;
import io.opentelemetry.proto.collector.trace.v1.ExportTraceServiceRequest;
import io.opentelemetry.proto.common.v1.AnyValue;
import io.opentelemetry.proto.common.v1.KeyValue;
import io.opentelemetry.proto.resource.v1.Resource;
import io.opentelemetry.proto.trace.v1.ResourceSpans;
import io.opentelemetry.proto.trace.v1.ScopeSpans;
import io.opentelemetry.proto.trace.v1.Span;
import java.util.HexFormat;
import org.fescueport.internal.standin.FakeExchange;
import org.junit.jupiter.api.Test;

class CollectorHandlerTest {
    private static final String TRACE = "0af7651916cd43dd8448eb211c80319c";

    private final CollectorHandler mCollector = CollectorHandler.create();

    @Test
    void shouldShowATraceAsATree() {
        export("agent", span("02", "01", "generate", 1_500_000, 4_000_000));
        export("router", span("01", "ff", "chat", 1_000_000, 5_000_000));
        var exchange = FakeExchange.of("GET", "/v1/traces/" + TRACE);
        mCollector.handle(exchange);
        var expected =
                """
                router  chat  +0.0 ms  4.0 ms
                  agent  generate  +0.5 ms  2.5 ms
                """;
        assertThat(exchange.answer(), is(expected));
    }

    @Test
    void shouldSayThatATraceIsUnknown() {
        var exchange = FakeExchange.of("GET", "/v1/traces/" + TRACE);
        mCollector.handle(exchange);
        assertThat(exchange.status(), is(404));
    }

    private void export(String service, Span span) {
        var name =
                KeyValue.newBuilder()
                        .setKey("service.name")
                        .setValue(AnyValue.newBuilder().setStringValue(service));
        var spans =
                ResourceSpans.newBuilder()
                        .setResource(Resource.newBuilder().addAttributes(name))
                        .addScopeSpans(ScopeSpans.newBuilder().addSpans(span));
        var request = ExportTraceServiceRequest.newBuilder().addResourceSpans(spans).build();
        var exchange = FakeExchange.of("POST", "/v1/traces").body(request.toByteArray());
        mCollector.handle(exchange);
        assertThat(exchange.status(), is(200));
    }

    private static Span span(String id, String parent, String name, long start, long end) {
        return Span.newBuilder()
                .setTraceId(hex(TRACE))
                .setSpanId(hex("00000000000000" + id))
                .setParentSpanId(hex("00000000000000" + parent))
                .setName(name)
                .setStartTimeUnixNano(start)
                .setEndTimeUnixNano(end)
                .build();
    }

    private static ByteString hex(String text) {
        return ByteString.copyFrom(HexFormat.of().parseHex(text));
    }
}
