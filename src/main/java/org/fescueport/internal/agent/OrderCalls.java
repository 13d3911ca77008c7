package org.fescueport.internal.agent;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import io.micrometer.core.instrument.Clock;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fescueport.internal.decision.Declarations;
import org.fescueport.internal.decision.ModelDeclaration;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.order.OrderGuard;
import org.fescueport.internal.log.lease.FencedOrders;
import org.fescueport.internal.log.lease.LeaseReader;
import org.fescueport.internal.log.lease.OrderRefusedException;
import org.fescueport.internal.wire.generated.OrderAnswer;
import org.fescueport.internal.wire.generated.OrderCall;
import org.fescueport.internal.wire.generated.OrderFate;
import org.fescueport.port.Engine;
import org.fescueport.port.LogService;
import org.fescueport.port.PlatformException;

/**
 * Takes the orders to an agent's engine. An engine that serves is set aside first and finishes what
 * it runs, so that an order cuts no answer off.
 */
final class OrderCalls implements AutoCloseable {
    private static final long BUSY_POLL_MILLIS = 20;

    private final ReplicaStatus mStatus;
    private final Supplier<CompletableFuture<Integer>> mActive;
    private final ScheduledExecutorService mTimers;
    private final Clock mClock;
    private final Duration mDrainLimit;
    private final FencedOrders mOrders;
    private volatile Engine.Order mSetAsideFor;

    private OrderCalls(
            Engine engine,
            ReplicaStatus status,
            Supplier<CompletableFuture<Integer>> active,
            LogService log,
            ScheduledExecutorService timers,
            Clock clock,
            Duration drainLimit,
            MeterRegistry registry) {
        mStatus = status;
        mActive = active;
        mTimers = timers;
        mClock = clock;
        mDrainLimit = drainLimit;
        // Until it is declared otherwise, the engine counts as one that ignores tokens.
        mOrders =
                FencedOrders.start(
                        engine,
                        OrderGuard.create(false),
                        PlacementDuty.LEASE,
                        LeaseReader.create(log, clock),
                        timers,
                        clock,
                        registry);
        mOrders.prepareBy(this::prepare);
    }

    /**
     * Starts taking orders.
     *
     * @param active tells how many attempts wait or run at the agent
     * @param timers one thread, which nothing blocks
     * @param drainLimit an order is refused if the engine is busy for longer
     */
    static OrderCalls start(
            Engine engine,
            ReplicaStatus status,
            Supplier<CompletableFuture<Integer>> active,
            LogService log,
            ScheduledExecutorService timers,
            Clock clock,
            Duration drainLimit,
            MeterRegistry registry) {
        return new OrderCalls(engine, status, active, log, timers, clock, drainLimit, registry);
    }

    /** Takes whether the engines of a pool are declared to check fencing tokens. */
    void onDeclarations(Declarations declarations, PoolId pool) {
        var models =
                declarations.models().values().stream()
                        .filter(model -> model.pool().equals(pool))
                        .toList();
        boolean checks =
                !models.isEmpty() && models.stream().allMatch(ModelDeclaration::checksFencing);
        mOrders.setEngineChecks(checks);
    }

    /** Answers an order when it was carried out or refused. */
    CompletableFuture<ByteString> order(ByteString payload) {
        OrderCall call;
        try {
            call = OrderCall.parseFrom(payload);
        } catch (InvalidProtocolBufferException e) {
            return CompletableFuture.failedFuture(e);
        }
        var order = new Engine.Order(call.getKind(), call.getSubject(), call.getFencingToken());
        return mOrders.order(order)
                .handle((done, failure) -> answer(order, failure).toByteString());
    }

    /** Answers what the engine does. */
    CompletableFuture<ByteString> replica() {
        return CompletableFuture.completedFuture(mStatus.report().toByteString());
    }

    @Override
    public void close() {
        mOrders.close();
    }

    private CompletableFuture<Void> prepare(Engine.Order order) {
        mSetAsideFor = order;
        mStatus.setAside(order.subject());
        var idle = new CompletableFuture<Void>();
        awaitIdle(idle, mClock.monotonicTime() + mDrainLimit.toNanos());
        return idle;
    }

    private void awaitIdle(CompletableFuture<Void> idle, long endNanos) {
        mActive.get()
                .thenAccept(
                        active -> {
                            if (active == 0) {
                                idle.complete(null);
                            } else if (mClock.monotonicTime() - endNanos > 0) {
                                var why = "requests ran for longer than " + mDrainLimit;
                                idle.completeExceptionally(new IllegalStateException(why));
                            } else {
                                mTimers.schedule(
                                        () -> awaitIdle(idle, endNanos),
                                        BUSY_POLL_MILLIS,
                                        TimeUnit.MILLISECONDS);
                            }
                        });
    }

    private OrderAnswer answer(Engine.Order order, Throwable failure) {
        var cause = failure instanceof CompletionException ? failure.getCause() : failure;
        var fate = fateOf(cause);
        // An order that was refused at once never touched the engine.
        if (mSetAsideFor == order && fate == OrderFate.ORDER_REFUSED) {
            mStatus.onRefused();
        } else if (mSetAsideFor == order) {
            mStatus.onPassed(order.subject());
        }
        var detail = cause == null ? "" : String.valueOf(cause.getMessage());
        return OrderAnswer.newBuilder().setFate(fate).setDetail(detail).build();
    }

    private static OrderFate fateOf(Throwable cause) {
        return switch (cause) {
            case null -> OrderFate.ORDER_CARRIED_OUT;
            case OrderRefusedException refused -> OrderFate.ORDER_REFUSED;
            case PlatformException failed when failed.effect() == PlatformException.Effect.NONE ->
                    OrderFate.ORDER_REFUSED;
            default -> OrderFate.ORDER_UNKNOWN;
        };
    }
}
