package org.fescueport.internal.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.fescueport.internal.decision.Outcome;
import org.jmock.lib.concurrent.DeterministicExecutor;
import org.junit.jupiter.api.Test;

class LoopedListenerTest implements BackendListener {
    private final List<String> mEvents = new ArrayList<>();

    @Test
    void shouldTouchNothingBeforeTheLoopRuns() {
        var loop = new DeterministicExecutor();
        var listener = LoopedListener.of(loop, this);
        listener.onStarted(3);
        listener.onPiece(new byte[2], 1);
        listener.onEnd(End.failed(Outcome.UNKNOWN, "lost", ""));
        assertThat(mEvents.isEmpty(), is(true));
        loop.runUntilIdle();
        assertThat(mEvents, contains("started 3", "piece 2", "end lost"));
    }

    @Override
    public void onStarted(int cachedTokens) {
        mEvents.add("started " + cachedTokens);
    }

    @Override
    public void onPiece(byte[] piece, int tokens) {
        mEvents.add("piece " + piece.length);
    }

    @Override
    public void onEnd(End end) {
        mEvents.add("end " + end.reason());
    }
}
