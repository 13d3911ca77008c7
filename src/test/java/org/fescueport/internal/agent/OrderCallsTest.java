package org.fescueport.internal.agent;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.micrometer.core.instrument.MockClock;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.wire.generated.OrderAnswer;
import org.fescueport.internal.wire.generated.OrderCall;
import org.fescueport.internal.wire.generated.OrderFate;
import org.fescueport.internal.wire.generated.ReplicaActivity;
import org.fescueport.port.Engine;
import org.fescueport.port.PlatformException;
import org.fescueport.testing.FakeLogService;
import org.jmock.lib.concurrent.DeterministicScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class OrderCallsTest {
    private static final Duration DRAIN_LIMIT = Duration.ofSeconds(30);

    private final MockClock mClock = new MockClock();
    private final DeterministicScheduler mScheduler = new DeterministicScheduler();
    private final FakeLogService mLog = FakeLogService.create(mClock, mScheduler, 3);
    private final List<String> mObeyed = new ArrayList<>();
    private final ReplicaStatus mStatus = ReplicaStatus.create(engine(), mClock, () -> {});
    private final OrderCalls mOrders =
            OrderCalls.start(
                    engine(),
                    mStatus,
                    this::active,
                    mLog,
                    mScheduler,
                    mClock,
                    DRAIN_LIMIT,
                    new SimpleMeterRegistry());
    private int mActive;
    private String mVersion = "notes-1";
    private PlatformException mFailure;

    @BeforeEach
    void readTheFirstReport() {
        mStatus.refresh();
    }

    @Test
    void shouldLetTheEngineFinishBeforeAnOrder() {
        mActive = 1;
        var answer = order("notes-2", 5);
        assertThat(mStatus.isServing(), is(false));
        assertThat(mObeyed, is(empty()));
        mActive = 0;
        advance(100);
        assertThat(mObeyed, contains("notes-2"));
        assertThat(fateOf(answer), is(OrderFate.ORDER_CARRIED_OUT));
    }

    @Test
    void shouldServeAgainWhenTheEngineReportsWhatWasOrdered() {
        order("notes-2", 5);
        mStatus.refresh();
        assertThat(mStatus.report().getActivity(), is(ReplicaActivity.REPLICA_LOADING));
        mVersion = "notes-2";
        mStatus.refresh();
        assertThat(mStatus.report().getActivity(), is(ReplicaActivity.REPLICA_READY));
        assertThat(mStatus.isServing(), is(true));
    }

    @Test
    void shouldGoOnServingWhenTheEngineStaysBusy() {
        mActive = 1;
        var answer = order("notes-2", 5);
        advance(DRAIN_LIMIT.toMillis() + 200);
        assertThat(fateOf(answer), is(OrderFate.ORDER_REFUSED));
        assertThat(mStatus.isServing(), is(true));
        assertThat(mObeyed, is(empty()));
    }

    @Test
    void shouldGoOnServingWhenTheEngineRefuses() {
        mFailure = PlatformException.didNotHappen("an older token", null);
        var answer = order("notes-2", 5);
        assertThat(fateOf(answer), is(OrderFate.ORDER_REFUSED));
        assertThat(mStatus.isServing(), is(true));
    }

    @Test
    void shouldNotSetTheEngineAsideForAnOldOrder() {
        order("notes-2", 5);
        mVersion = "notes-2";
        mStatus.refresh();
        mActive = 1;
        var late = order("notes-1", 4);
        assertThat(fateOf(late), is(OrderFate.ORDER_REFUSED));
        assertThat(mStatus.isServing(), is(true));
    }

    @Test
    void shouldStayAsideForTheOrderUnderWayWhenAnotherIsRefused() {
        mActive = 1;
        order("notes-2", 5);
        mLog.setDown(true);
        order("notes-3", 4);
        assertThat(mStatus.isServing(), is(false));
    }

    private CompletableFuture<Integer> active() {
        return CompletableFuture.completedFuture(mActive);
    }

    private CompletableFuture<ByteString> order(String artifact, long token) {
        var call =
                OrderCall.newBuilder()
                        .setKind("load")
                        .setSubject(artifact)
                        .setFencingToken(token)
                        .build();
        var answer = mOrders.order(call.toByteString());
        advance(200);
        return answer;
    }

    private static OrderFate fateOf(CompletableFuture<ByteString> answer) {
        try {
            return OrderAnswer.parseFrom(answer.getNow(null)).getFate();
        } catch (InvalidProtocolBufferException e) {
            throw new AssertionError(e);
        }
    }

    /** An engine of which only orders and load reports are used. */
    private Engine engine() {
        return (Engine)
                Proxy.newProxyInstance(
                        Engine.class.getClassLoader(),
                        new Class<?>[] {Engine.class},
                        (proxy, method, arguments) ->
                                method.getName().equals("order")
                                        ? obey((Engine.Order) arguments[0])
                                        : CompletableFuture.completedFuture(
                                                new Engine.ReportedLoad(0, 0, 0, mVersion)));
    }

    private CompletableFuture<Void> obey(Engine.Order order) {
        if (mFailure != null) {
            return CompletableFuture.failedFuture(mFailure);
        }
        mObeyed.add(order.subject());
        return CompletableFuture.completedFuture(null);
    }

    private void advance(long millis) {
        for (var at = 0L; at < millis; at += 20) {
            mClock.add(20, TimeUnit.MILLISECONDS);
            mScheduler.tick(20, TimeUnit.MILLISECONDS);
        }
    }
}
