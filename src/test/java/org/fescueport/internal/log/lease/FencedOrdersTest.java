package org.fescueport.internal.log.lease;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.micrometer.core.instrument.MockClock;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.lease.LeaseHolder;
import org.fescueport.internal.decision.lease.LeaseRecord;
import org.fescueport.internal.decision.order.OrderGuard;
import org.fescueport.port.Engine;
import org.fescueport.testing.FakeLogService;
import org.jmock.lib.concurrent.DeterministicScheduler;
import org.junit.jupiter.api.Test;

class FencedOrdersTest {
    private static final String LEASE = "placement";

    private final MockClock mClock = new MockClock();
    private final DeterministicScheduler mScheduler = new DeterministicScheduler();
    private final FakeLogService mLog = FakeLogService.create(mClock, mScheduler, 3);
    private final List<Long> mObeyed = new ArrayList<>();
    private final List<CompletableFuture<Void>> mAnswers = new ArrayList<>();

    @Test
    void shouldPassOrdersOnOneAfterAnother() {
        var orders = orders(true);
        var first = order(orders, 1);
        var second = order(orders, 2);
        assertThat(mObeyed, contains(1L));
        mAnswers.getFirst().complete(null);
        advance(100);
        assertThat(first.isDone(), is(true));
        assertThat(mObeyed, contains(1L, 2L));
        assertThat(second.isDone(), is(false));
    }

    @Test
    void shouldRefuseTheOrderOfAFormerHolderThatTheLogTellsOf() {
        var orders = orders(false);
        claim("first", 0, 10_000);
        advance(10_000);
        claim("second", 1, 10_000);
        assertThat(LeaseReader.create(mLog, mClock).newest(LEASE).join().token(), is(2L));
        var late = order(orders, 1);
        var failure = assertThrows(ExecutionException.class, late::get).getCause();
        assertThat(failure.getMessage(), containsString("token 2 is newer"));
        order(orders, 2);
        assertThat(mObeyed, contains(2L));
    }

    @Test
    void shouldPassNothingOnToAnEngineThatIgnoresTokensWhileTheLogIsDown() {
        var orders = orders(false);
        mLog.setDown(true);
        var order = order(orders, 1);
        var failure = assertThrows(ExecutionException.class, order::get).getCause();
        assertThat(failure instanceof OrderRefusedException, is(true));
        assertThat(mObeyed, is(empty()));
    }

    @Test
    void shouldRefuseAnOrderWhoseLeaseEndedWhileTheEngineWasMadeReady() {
        var orders = orders(false);
        var ready = new CompletableFuture<Void>();
        orders.prepareBy(order -> ready);
        claim("first", 0, 10_000);
        var late = order(orders, 1);
        advance(10_000);
        claim("second", 1, 10_000);
        ready.complete(null);
        advance(100);
        var failure = assertThrows(ExecutionException.class, late::get).getCause();
        assertThat(failure.getMessage(), containsString("token 2 is newer"));
        assertThat(mObeyed, is(empty()));
    }

    @Test
    void shouldRefuseWhatWaitsWhenTheAgentStops() {
        var orders = orders(true);
        order(orders, 1);
        var second = order(orders, 2);
        orders.close();
        advance(100);
        assertThat(second.isCompletedExceptionally(), is(true));
        assertThat(mObeyed, contains(1L));
    }

    private void claim(String node, long base, long millis) {
        var holder = LeaseHolder.of(NodeId.of(node), 1);
        var claim = new LeaseRecord.Claim(LEASE, holder, base, millis, new UUID(0, base));
        mLog.append(LeaseTail.STREAM, List.of(LeaseCodec.encode(claim)));
    }

    private CompletableFuture<Void> order(FencedOrders orders, long token) {
        var result = orders.order(new Engine.Order("load", "notes-1", token));
        advance(100);
        return result;
    }

    private FencedOrders orders(boolean engineChecks) {
        return FencedOrders.start(
                engine(),
                OrderGuard.create(engineChecks),
                LEASE,
                LeaseReader.create(mLog, mClock),
                mScheduler,
                mClock,
                new SimpleMeterRegistry());
    }

    /** An engine of which only orders are used. */
    private Engine engine() {
        return (Engine)
                Proxy.newProxyInstance(
                        Engine.class.getClassLoader(),
                        new Class<?>[] {Engine.class},
                        (proxy, method, arguments) -> {
                            mObeyed.add(((Engine.Order) arguments[0]).fencingToken());
                            var answer = new CompletableFuture<Void>();
                            mAnswers.add(answer);
                            return answer;
                        });
    }

    private void advance(long millis) {
        for (var at = 0; at < millis; at += 100) {
            mClock.add(100, TimeUnit.MILLISECONDS);
            mScheduler.tick(100, TimeUnit.MILLISECONDS);
        }
    }
}
