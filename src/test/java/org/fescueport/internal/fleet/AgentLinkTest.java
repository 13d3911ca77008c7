package org.fescueport.internal.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.embedded.EmbeddedChannel;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.wire.FrameConnection;
import org.fescueport.internal.wire.Frames;
import org.fescueport.internal.wire.generated.Chunk;
import org.fescueport.internal.wire.generated.Frame;
import org.fescueport.internal.wire.generated.Outcome;
import org.fescueport.internal.wire.generated.Started;
import org.junit.jupiter.api.Test;

class AgentLinkTest {
    private static final AttemptId ID = AttemptId.of(RequestId.of(1, 2), 1);

    private final AgentLink mLink =
            AgentLink.of(
                    NodeId.of("vm-1"),
                    FrameConnection.over(new EmbeddedChannel()),
                    new SimpleMeterRegistry().counter("stale"),
                    0);

    @Test
    void shouldLeaveAnAttemptToItsNewListenerRegressionOfSilentResume() {
        var first = new CountingListener();
        var resumed = new CountingListener();
        mLink.submit(ID, Frames.cancel(ID), first, 0);
        mLink.submit(ID, Frames.cancel(ID), resumed, 0);

        assertThat(mLink.forget(ID, first), is(false));

        mLink.onFrame(chunk(), 0);
        assertThat(resumed.mChunks, is(1));
        assertThat(mLink.forget(ID, resumed), is(true));
        mLink.onFrame(chunk(), 0);
        assertThat(resumed.mChunks, is(1));
    }

    private static Frame chunk() {
        return Frame.newBuilder().setChunk(Chunk.newBuilder().setKey(Frames.keyOf(ID))).build();
    }

    private static final class CountingListener implements AttemptListener {
        private int mChunks;

        @Override
        public void onStarted(Started started) {
            // Only chunks count here.
        }

        @Override
        public void onChunk(Chunk chunk) {
            mChunks++;
        }

        @Override
        public void onOutcome(Outcome outcome) {
            // Only chunks count here.
        }

        @Override
        public void onLost() {
            // Only chunks count here.
        }
    }
}
