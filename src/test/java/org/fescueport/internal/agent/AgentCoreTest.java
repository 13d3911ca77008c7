package org.fescueport.internal.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.MockClock;
import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.telemetry.Telemetry;
import org.fescueport.internal.wire.FrameConnection;
import org.fescueport.internal.wire.Frames;
import org.fescueport.internal.wire.generated.Frame;
import org.fescueport.internal.wire.generated.Hello;
import org.fescueport.internal.wire.generated.Submit;
import org.fescueport.port.Engine;
import org.fescueport.port.PlatformException;
import org.jmock.lib.concurrent.DeterministicScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AgentCoreTest {
    private static final AttemptId ID = AttemptId.of(RequestId.of(1, 2), 1);

    private final DeterministicScheduler mLoop = new DeterministicScheduler();
    private final MockClock mClock = new MockClock();
    private final FakeEngine mEngine = new FakeEngine();
    private final AgentCore mCore =
            AgentCore.create(
                    new AgentCore.Identity("vm-1", 7, "d1"),
                    new Backend.Model(mEngine),
                    4,
                    4,
                    mLoop,
                    mClock,
                    Telemetry.create("test", "vm-1", Optional.empty(), mClock));

    @BeforeEach
    void letEverythingStart() {
        mCore.use(null, Guards.withoutStrikes(mClock, mLoop));
    }

    @Test
    void shouldTouchARunOnItsLoopOnlyRegressionOfLostChunks() {
        mCore.onSubmit(FakeConnections.open(), submit());

        mEngine.mListeners.getFirst().onStarted(3, 0);
        mEngine.mListeners.getFirst().onText("word ", 1);

        assertThat(mCore.load().getRunning(), is(1));
        mLoop.runUntilIdle();
    }

    @Test
    void shouldRefuseWhenLeaving() {
        mCore.leave("test");

        mCore.onSubmit(FakeConnections.open(), submit());

        assertThat(mEngine.mListeners, is(empty()));
    }

    @Test
    void shouldRefuseWhileTheEngineServesNothing() {
        mCore.onServing(Hello.newBuilder().setServesNothing(true).build());
        mCore.onSubmit(FakeConnections.open(), submit());
        assertThat(mEngine.mListeners, is(empty()));
    }

    @Test
    void shouldSayThatTheBackendServerIsDownRegressionOfOverloaded() {
        var channel = new EmbeddedChannel();
        mCore.onHealth(false);

        mCore.onSubmit(FrameConnection.over(channel), submit());

        channel.flushOutbound();
        Frame told = channel.readOutbound();
        assertThat(told.getOutcome().getReason(), is("backend_down"));
        assertThat(mEngine.mListeners, is(empty()));
    }

    @Test
    void shouldStartNothingOnABackendServerThatWasFoundDead() {
        mEngine.mHealth = CompletableFuture.failedFuture(new IllegalStateException("dead"));
        mCore.onSubmit(FakeConnections.open(), submit());
        mEngine.mListeners
                .getFirst()
                .onFailed(PlatformException.cannotBeKnown("connection reset", null));
        mLoop.runUntilIdle();

        var next = Frames.keyOf(AttemptId.of(RequestId.of(3, 4), 1));
        mCore.onSubmit(FakeConnections.open(), submit().toBuilder().setKey(next).build());

        assertThat(mEngine.mListeners, hasSize(1));
    }

    @Test
    void shouldNotRunAFrameThatWasHeldUpPastItsDeadline() {
        mClock.add(Duration.ofMinutes(1));
        long late = mClock.wallTime() - 5_000;

        mCore.onSubmit(
                FakeConnections.open(), submit().toBuilder().setDeadlineWallMs(late).build());

        assertThat(mEngine.mListeners, is(empty()));
    }

    @Test
    void shouldNotRunForAnotherIncarnation() {
        mCore.onSubmit(
                FakeConnections.open(), submit().toBuilder().setExpectedIncarnation(8).build());

        assertThat(mEngine.mListeners, is(empty()));
    }

    @Test
    void shouldNotRunADuplicateFrame() {
        mCore.onSubmit(FakeConnections.open(), submit());
        mCore.onSubmit(FakeConnections.open(), submit());

        assertThat(mEngine.mListeners, hasSize(1));
    }

    @Test
    void shouldNotRunWhatWasRefusedBeforeItArrived() {
        mCore.onRefuse(FakeConnections.open(), ID);

        mCore.onSubmit(FakeConnections.open(), submit());

        assertThat(mEngine.mListeners, is(empty()));
    }

    @Test
    void shouldStopTheEngineWhenTheCallerIsGone() {
        mCore.onSubmit(FakeConnections.open(), submit());

        mCore.onCancel(ID);

        assertThat(mEngine.mCancelled, is(1));
        assertThat(mCore.active(), is(0));
    }

    @Test
    void shouldRunEachOfAManyShortRequestsAtASteadyRate() {
        for (int i = 0; i < 120_000; i++) {
            var id = AttemptId.of(RequestId.of(3, i), 1);
            mCore.onSubmit(FakeConnections.open(), submit(id));
            mEngine.mListeners.getLast().onCompleted("stop", 3, 0, 1);
            mLoop.runUntilIdle();
            mClock.add(Duration.ofMillis(1));
            if (i % 1000 == 0) {
                mCore.sweep();
            }
        }

        assertThat(mEngine.mListeners, hasSize(120_000));
    }

    private static Submit submit() {
        return submit(ID);
    }

    private static Submit submit(AttemptId id) {
        return Submit.newBuilder()
                .setKey(Frames.keyOf(id))
                .setTeam("water-board")
                .setTeamWeight(1000)
                .setTarget("gauge-notes")
                .setDeadlineInMs(30_000)
                .setPromptTokens(3)
                .setMaxTokens(10)
                .setCreditBytes(1024)
                .setBody(ByteString.copyFromUtf8("{}"))
                .build();
    }

    private static final class FakeEngine implements Engine {
        private final List<Listener> mListeners = new ArrayList<>();
        private int mCancelled;
        private CompletableFuture<Void> mHealth = CompletableFuture.completedFuture(null);

        @Override
        public Handle generate(Generation generation, Listener listener) {
            mListeners.add(listener);
            return new Handle() {
                @Override
                public void cancel() {
                    mCancelled++;
                }

                @Override
                public void setReading(boolean reading) {
                    // Nothing is read here.
                }
            };
        }

        @Override
        public CompletableFuture<ReportedLoad> load() {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Void> order(Order order) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<byte[]> exportCache(byte[] body) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Void> importCache(byte[] cache) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletableFuture<Void> checkHealth() {
            return mHealth;
        }
    }
}
