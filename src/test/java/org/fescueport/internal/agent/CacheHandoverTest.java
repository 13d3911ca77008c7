package org.fescueport.internal.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import com.google.protobuf.ByteString;
import io.micrometer.core.instrument.MockClock;
import io.opentelemetry.api.trace.Span;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.AttemptId;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.RequestId;
import org.fescueport.internal.fleet.Membership;
import org.fescueport.internal.telemetry.Telemetry;
import org.fescueport.internal.wire.generated.Submit;
import org.fescueport.port.Engine;
import org.fescueport.port.VmList;
import org.jmock.lib.concurrent.DeterministicScheduler;
import org.junit.jupiter.api.Test;

class CacheHandoverTest {
    private static final long SECONDS = 10;

    private final DeterministicScheduler mLoop = new DeterministicScheduler();
    private final MockClock mClock = new MockClock();
    private final Telemetry mTelemetry = Telemetry.create("test", "vm-1", Optional.empty(), mClock);
    private final List<String> mSent = new ArrayList<>();
    private final List<CompletableFuture<Object>> mReplies = new ArrayList<>();
    private final CacheHandover mHandover =
            CacheHandover.of(
                    new ExportingEngine(),
                    NodeId.of("vm-1"),
                    PoolId.of("pool"),
                    membership(),
                    this::send,
                    mLoop,
                    mClock,
                    AgentCounters.of(mTelemetry));

    @Test
    void shouldHandOverTheHottestFirstAndOneAtATime() {
        complete("short", 100);
        complete("long", 9_000);
        mHandover.begin(SECONDS);
        assertThat(mSent, contains("vm-2 cache of long"));
        reply();
        assertThat(mSent, contains("vm-2 cache of long", "vm-2 cache of short"));
        assertThat(mHandover.isDone(), is(false));
        reply();
        assertThat(mHandover.isDone(), is(true));
    }

    @Test
    void shouldHandOverWhatEndsWhileItLeaves() {
        mHandover.begin(SECONDS);
        assertThat(mHandover.isDone(), is(true));
        complete("late", 100);
        assertThat(mHandover.isDone(), is(false));
        assertThat(mSent, contains("vm-2 cache of late"));
    }

    @Test
    void shouldStopWhenItsTimeIsOver() {
        complete("one", 100);
        complete("two", 100);
        mHandover.begin(SECONDS);
        mClock.add(SECONDS, TimeUnit.SECONDS);
        reply();
        assertThat(mSent, hasSize(1));
        assertThat(mHandover.isDone(), is(true));
    }

    @Test
    void shouldGoOnAfterAPeerFailed() {
        complete("one", 100);
        complete("two", 100);
        mHandover.begin(SECONDS);
        mReplies.getLast().completeExceptionally(new IllegalStateException("gone"));
        mLoop.runUntilIdle();
        mLoop.tick(1, TimeUnit.SECONDS);
        assertThat(mSent, hasSize(2));
    }

    private CompletableFuture<Object> send(
            org.fescueport.internal.decision.placement.Replica target, ByteString cache) {
        mSent.add(target.node().name() + " " + cache.toStringUtf8());
        mReplies.add(new CompletableFuture<>());
        return mReplies.getLast();
    }

    private void reply() {
        mReplies.getLast().complete("");
        mLoop.runUntilIdle();
        mLoop.tick(1, TimeUnit.SECONDS);
    }

    private void complete(String chat, long tokens) {
        var body = ByteString.copyFromUtf8(chat);
        var submit = Submit.newBuilder().setTeam("t").setChat(chat).setBody(body).build();
        var id = AttemptId.of(RequestId.of(0, chat.hashCode()), 1);
        mHandover.onCompleted(Run.of(id, submit, Span.getInvalid(), 0, null), tokens);
    }

    private Membership membership() {
        var vms = List.of(vm("vm-1"), vm("vm-2"));
        var membership =
                Membership.create(() -> CompletableFuture.completedFuture(vms), mClock, mTelemetry);
        membership.refresh();
        return membership;
    }

    private static VmList.Vm vm(String id) {
        var labels = Map.of("role", "agent", "port", "1", "pool", "pool");
        return new VmList.Vm(id, "10.0.0.1", "d1", VmList.State.LIVE, labels);
    }

    /** Exports "cache of" the body. */
    private static final class ExportingEngine implements Engine {
        @Override
        public CompletableFuture<byte[]> exportCache(byte[] body) {
            return CompletableFuture.completedFuture(("cache of " + new String(body)).getBytes());
        }

        @Override
        public Handle generate(Generation generation, Listener listener) {
            throw new AssertionError("generates nothing");
        }

        @Override
        public CompletableFuture<ReportedLoad> load() {
            throw new AssertionError("is not asked for its load");
        }

        @Override
        public CompletableFuture<Void> order(Order order) {
            throw new AssertionError("gets no orders");
        }

        @Override
        public CompletableFuture<Void> importCache(byte[] cache) {
            throw new AssertionError("imports nothing");
        }

        @Override
        public CompletableFuture<Void> checkHealth() {
            throw new AssertionError("is not checked");
        }
    }
}
