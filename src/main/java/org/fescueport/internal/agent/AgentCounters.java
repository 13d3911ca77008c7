package org.fescueport.internal.agent;

import java.util.Locale;
import org.fescueport.internal.decision.Outcome;
import org.fescueport.internal.telemetry.Telemetry;

/** Counters of an agent's decisions and refusals. */
final class AgentCounters {
    private final Telemetry mTelemetry;

    private AgentCounters(Telemetry telemetry) {
        mTelemetry = telemetry;
    }

    static AgentCounters of(Telemetry telemetry) {
        return new AgentCounters(telemetry);
    }

    void onSubmit(String team) {
        mTelemetry.counter("agent_submits", "team", team).increment();
    }

    void onStart() {
        mTelemetry.counter("agent_starts").increment();
    }

    void onDuplicate() {
        mTelemetry.counter("agent_duplicate_submits").increment();
    }

    void onCancel() {
        mTelemetry.counter("agent_cancels").increment();
    }

    void onResume(boolean found) {
        mTelemetry.counter("agent_resumes", "found", Boolean.toString(found)).increment();
    }

    void onRepeatedKey() {
        mTelemetry.counter("agent_repeated_keys").increment();
    }

    void onBackendDeath() {
        mTelemetry.counter("agent_backend_deaths").increment();
    }

    void onCacheImport(boolean succeeded) {
        var name = Boolean.toString(succeeded);
        mTelemetry.counter("agent_cache_imports", "succeeded", name).increment();
    }

    void onCacheHandover(boolean succeeded) {
        var name = Boolean.toString(succeeded);
        mTelemetry.counter("agent_cache_handovers", "succeeded", name).increment();
    }

    void onAbandoned() {
        mTelemetry.counter("agent_abandoned_answers").increment();
    }

    void onOutcome(Outcome outcome, String reason) {
        var name = outcome.name().toLowerCase(Locale.ROOT);
        mTelemetry.counter("agent_outcomes", "outcome", name, "reason", reason).increment();
    }

    void onTokens(int prompt, int cached, int completion) {
        mTelemetry.counter("agent_prompt_tokens").increment(prompt);
        mTelemetry.counter("agent_cached_tokens").increment(cached);
        mTelemetry.counter("agent_completion_tokens").increment(completion);
    }
}
