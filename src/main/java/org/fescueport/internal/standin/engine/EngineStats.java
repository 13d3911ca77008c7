package org.fescueport.internal.standin.engine;

/** Counts of an engine since it started, and what it holds now. */
record EngineStats(
        long requests,
        long completed,
        long cancelled,
        long refused,
        long promptTokens,
        long cachedTokens,
        long generatedTokens,
        int running,
        int waiting,
        int cachedBlocks) {}
