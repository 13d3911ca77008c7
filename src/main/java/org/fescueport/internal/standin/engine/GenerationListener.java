package org.fescueport.internal.standin.engine;

/** Receives one generation, on the engine's thread. */
interface GenerationListener {
    /** The prompt was prefilled. */
    void onStarted(int promptTokens, int cachedTokens);

    /** The next token; returns whether the reader keeps up. */
    boolean onToken(String text);

    /** The answer is whole. */
    void onCompleted(Usage usage);

    /** The engine holds too many requests; nothing was run. */
    void onRefused();
}
