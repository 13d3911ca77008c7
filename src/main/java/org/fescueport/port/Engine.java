package org.fescueport.port;

import java.util.concurrent.CompletableFuture;

/**
 * A model engine that speaks the chat-completions form over HTTP.
 *
 * <p>Futures fail with {@link PlatformException}.
 */
public interface Engine {
    /**
     * One generation.
     *
     * @param body the caller's chat-completions JSON, with {@code stream} set
     * @param priority 0 is the most urgent
     * @param resumeText text that was already delivered and is continued; empty for a new answer
     * @param traceparent W3C trace context; empty when there is none
     */
    record Generation(byte[] body, int priority, String resumeText, String traceparent) {}

    /** Receives one generation; called by one thread at a time. */
    interface Listener {
        /** The engine began; {@code cachedTokens} of the prompt were found in its cache. */
        void onStarted(int promptTokens, int cachedTokens);

        /** The next piece of text. */
        void onText(String text, int tokens);

        /** The whole answer was given. */
        void onCompleted(String finishReason, int promptTokens, int cachedTokens, int tokens);

        /** The engine refused the request without running it. */
        void onRefused(int status, String detail);

        /** The connection or the engine failed. */
        void onFailed(PlatformException failure);
    }

    /** A running generation. */
    interface Handle {
        /** Stops the generation; the listener is not called again. */
        void cancel();

        /** Stops or continues reading from the engine. */
        void setReading(boolean reading);
    }

    /**
     * Load that an engine reports, which lags behind.
     *
     * @param waiting requests that wait
     */
    record ReportedLoad(int running, int waiting, int cachedBlocks, String version) {}

    /**
     * An order to change what the engine serves.
     *
     * @param kind {@code load}, {@code unload} or {@code role}
     * @param subject model, adapter, version or role
     * @param fencingToken offset of the lease in the log; engines that check refuse an older one
     */
    record Order(String kind, String subject, long fencingToken) {}

    /** Starts a generation. */
    Handle generate(Generation generation, Listener listener);

    /** Reads the load. */
    CompletableFuture<ReportedLoad> load();

    /** Carries out an order. */
    CompletableFuture<Void> order(Order order);

    /** Exports the KV cache of a prompt's prefix; empty when the engine no longer has it. */
    CompletableFuture<byte[]> exportCache(byte[] body);

    /** Imports a KV cache that another engine exported. */
    CompletableFuture<Void> importCache(byte[] cache);

    /** Fails when the engine does not answer its health check. */
    CompletableFuture<Void> checkHealth();
}
