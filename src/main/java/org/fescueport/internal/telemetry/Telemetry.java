package org.fescueport.internal.telemetry;

import io.micrometer.core.instrument.Clock;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.binder.jvm.JvmGcMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.core.instrument.binder.jvm.JvmThreadMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fescueport.internal.decision.Invariants;

/** Counters and traces of one process, with the memory, collections and threads of its JVM. */
public final class Telemetry implements AutoCloseable {
    private static final Duration EXPORT_INTERVAL = Duration.ofMillis(200);
    private static final String TRACEPARENT = "traceparent";
    private static final TextMapGetter<String> TRACEPARENT_GETTER =
            new TextMapGetter<>() {
                @Override
                public Iterable<String> keys(String carrier) {
                    return List.of(TRACEPARENT);
                }

                @Override
                public String get(String carrier, String key) {
                    return TRACEPARENT.equals(key) ? carrier : null;
                }
            };

    private final PrometheusMeterRegistry mRegistry;
    private final JvmGcMetrics mCollections = new JvmGcMetrics();
    private final SdkTracerProvider mTraces;
    private final Tracer mTracer;

    private Telemetry(PrometheusMeterRegistry registry, SdkTracerProvider traces) {
        mRegistry = registry;
        mTraces = traces;
        mTracer = traces.get("org.fescueport");
        new JvmMemoryMetrics().bindTo(registry);
        new JvmThreadMetrics().bindTo(registry);
        mCollections.bindTo(registry);
    }

    /**
     * Returns the telemetry of a process.
     *
     * @param collector where spans go by OTLP over HTTP; without it no span is recorded
     */
    public static Telemetry create(
            String program, String node, Optional<URI> collector, Clock clock) {
        var registry =
                new PrometheusMeterRegistry(
                        PrometheusConfig.DEFAULT,
                        new io.prometheus.metrics.model.registry.PrometheusRegistry(),
                        clock);
        FunctionCounter.builder(
                        "fescue.invariant.violations", registry, unused -> Invariants.violations())
                .register(registry);
        var resource =
                Resource.builder()
                        .put(AttributeKey.stringKey("service.name"), program)
                        .put(AttributeKey.stringKey("service.instance.id"), node)
                        .build();
        var traces = SdkTracerProvider.builder().setResource(resource);
        collector.ifPresent(url -> traces.addSpanProcessor(exporterTo(url)));
        if (collector.isEmpty()) {
            traces.setSampler(io.opentelemetry.sdk.trace.samplers.Sampler.alwaysOff());
        }
        return new Telemetry(registry, traces.build());
    }

    /** Returns the registry that meters are made in. */
    public MeterRegistry registry() {
        return mRegistry;
    }

    /** Returns a counter; {@code tags} are names and values in turn. */
    public Counter counter(String name, String... tags) {
        return mRegistry.counter(name, tags);
    }

    /** Returns all meters in the Prometheus text form. */
    public byte[] scrape() {
        return mRegistry.scrape().getBytes(StandardCharsets.UTF_8);
    }

    /** Starts a span below the one that {@code traceparent} names; may be empty. */
    public Span startSpan(String name, SpanKind kind, String traceparent) {
        var parent =
                W3CTraceContextPropagator.getInstance()
                        .extract(Context.root(), traceparent, TRACEPARENT_GETTER);
        return mTracer.spanBuilder(name).setSpanKind(kind).setParent(parent).startSpan();
    }

    /** Returns the W3C {@code traceparent} that names this span as the parent. */
    public static String traceparentOf(Span span) {
        Map<String, String> carrier = new HashMap<>();
        addTraceparent(span, carrier);
        return carrier.getOrDefault(TRACEPARENT, "");
    }

    /** Adds the header that names this span as the parent; none where no trace goes on. */
    public static void addTraceparent(Span span, Map<String, String> headers) {
        W3CTraceContextPropagator.getInstance()
                .inject(Context.root().with(span), headers, Map::put);
    }

    @Override
    public void close() {
        mTraces.close();
        mCollections.close();
        mRegistry.close();
    }

    private static BatchSpanProcessor exporterTo(URI url) {
        var exporter =
                OtlpHttpSpanExporter.builder().setEndpoint(url.resolve("/v1/traces").toString());
        return BatchSpanProcessor.builder(exporter.build())
                .setScheduleDelay(EXPORT_INTERVAL)
                .build();
    }
}
