package org.fescueport.internal.agent;

import java.util.concurrent.Executor;

/** Hands a backend server's events to the agent's loop, in order. */
final class LoopedListener implements BackendListener {
    private final Executor mLoop;
    private final BackendListener mListener;

    private LoopedListener(Executor loop, BackendListener listener) {
        mLoop = loop;
        mListener = listener;
    }

    static LoopedListener of(Executor loop, BackendListener listener) {
        return new LoopedListener(loop, listener);
    }

    @Override
    public void onStarted(int cachedTokens) {
        mLoop.execute(() -> mListener.onStarted(cachedTokens));
    }

    @Override
    public void onPiece(byte[] piece, int tokens) {
        mLoop.execute(() -> mListener.onPiece(piece, tokens));
    }

    @Override
    public void onEnd(End end) {
        mLoop.execute(() -> mListener.onEnd(end));
    }
}
