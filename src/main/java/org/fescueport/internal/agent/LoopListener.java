package org.fescueport.internal.agent;

import java.util.concurrent.Executor;

/** Hands a backend server's events, which arrive on I/O threads, to the agent's loop in order. */
record LoopListener(BackendListener next, Executor loop) implements BackendListener {
    @Override
    public void onStarted(int cachedTokens) {
        loop.execute(() -> next.onStarted(cachedTokens));
    }

    @Override
    public void onPiece(byte[] piece, int tokens) {
        loop.execute(() -> next.onPiece(piece, tokens));
    }

    @Override
    public void onEnd(End end) {
        loop.execute(() -> next.onEnd(end));
    }
}
