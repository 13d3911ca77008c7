package org.fescueport.internal.standin.engine;

import io.opentelemetry.api.trace.Span;

/** Ends a span when its generation ends. */
record TracedGeneration(GenerationListener listener, Span span) implements GenerationListener {
    @Override
    public void onStarted(int promptTokens, int cachedTokens) {
        span.setAttribute("engine.prompt_tokens", promptTokens);
        span.setAttribute("engine.cached_tokens", cachedTokens);
        span.addEvent("prefilled");
        listener.onStarted(promptTokens, cachedTokens);
    }

    @Override
    public boolean onToken(String text) {
        return listener.onToken(text);
    }

    @Override
    public void onCompleted(Usage usage) {
        span.end();
        listener.onCompleted(usage);
    }

    @Override
    public void onRefused() {
        span.end();
        listener.onRefused();
    }
}
