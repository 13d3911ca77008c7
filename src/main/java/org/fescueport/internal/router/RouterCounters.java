package org.fescueport.internal.router;

import io.micrometer.core.instrument.Timer;
import java.util.Locale;
import org.fescueport.internal.decision.Outcome;
import org.fescueport.internal.decision.placement.PlacementResult;
import org.fescueport.internal.telemetry.Telemetry;

/** Counters of a router's decisions and refusals. */
final class RouterCounters {
    private final Telemetry mTelemetry;
    private final Timer mFirstPiece;

    private RouterCounters(Telemetry telemetry) {
        mTelemetry = telemetry;
        mFirstPiece =
                Timer.builder("router_first_piece_seconds")
                        .publishPercentiles(0.5, 0.95, 0.99)
                        .register(telemetry.registry());
    }

    static RouterCounters of(Telemetry telemetry) {
        return new RouterCounters(telemetry);
    }

    void onRequest(String team) {
        mTelemetry.counter("router_requests", "team", team).increment();
    }

    void onRejected(String type) {
        mTelemetry.counter("router_rejected_requests", "type", type).increment();
    }

    void onChoice(PlacementResult.Reason reason) {
        mTelemetry.counter("router_choices", "reason", lower(reason)).increment();
    }

    void onAttempt() {
        mTelemetry.counter("router_attempts").increment();
    }

    void onRetry(String reason) {
        mTelemetry.counter("router_retries", "reason", reason).increment();
    }

    void onOutcome(Outcome outcome, String type) {
        mTelemetry.counter("router_outcomes", "outcome", lower(outcome), "type", type).increment();
    }

    void onFirstPiece(long nanos) {
        mFirstPiece.record(nanos, java.util.concurrent.TimeUnit.NANOSECONDS);
    }

    void onSettling() {
        mTelemetry.counter("router_settled_attempts").increment();
    }

    void onStaleChunk() {
        mTelemetry.counter("router_stale_chunks").increment();
    }

    void onCallerGone() {
        mTelemetry.counter("router_callers_gone").increment();
    }

    private static String lower(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
