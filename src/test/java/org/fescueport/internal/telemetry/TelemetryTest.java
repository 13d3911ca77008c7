package org.fescueport.internal.telemetry;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.Clock;
import io.opentelemetry.api.trace.SpanKind;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TelemetryTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "jvm_memory_used_bytes{area=\"heap\"",
                "jvm_gc_live_data_size_bytes",
                "jvm_threads_live_threads"
            })
    void shouldShowWhatTheJvmUses(String meter) {
        try (var telemetry = Telemetry.create("test", "vm-1", Optional.empty(), Clock.SYSTEM)) {
            assertThat(new String(telemetry.scrape(), UTF_8), containsString(meter));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"})
    void shouldHandOnOnlyATraceThatThereIs(String traceparent) {
        try (var telemetry = Telemetry.create("test", "vm-1", Optional.empty(), Clock.SYSTEM)) {
            Map<String, String> headers = new HashMap<>();

            Telemetry.addTraceparent(
                    telemetry.startSpan("hop", SpanKind.SERVER, traceparent), headers);

            assertThat(headers.isEmpty(), is(traceparent.isEmpty()));
        }
    }
}
