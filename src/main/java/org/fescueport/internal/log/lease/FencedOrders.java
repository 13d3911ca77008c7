package org.fescueport.internal.log.lease;

import io.micrometer.core.instrument.Clock;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayDeque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.order.OrderDecision;
import org.fescueport.internal.decision.order.OrderGuard;
import org.fescueport.port.Engine;

/**
 * An agent's way to its engine's orders: one at a time, none with an older fencing token.
 *
 * <p>Runs on one executor thread. Futures fail with {@link OrderRefusedException} if the order was
 * surely not passed on, else as the engine's do.
 *
 * <pre>{@code
 * var orders = FencedOrders.start(engine, guard, "placement", reader, executor, clock, registry);
 * orders.order(new Engine.Order("load", artifact, token));
 * }</pre>
 */
public final class FencedOrders implements AutoCloseable {
    private static final int TICK_MILLIS = 100;
    private static final int WAITING_MAX = 16;

    private record Waiting(Engine.Order order, CompletableFuture<Void> result) {}

    /** Makes an engine ready for an order; fails when it cannot be now. */
    @FunctionalInterface
    public interface Preparation {
        CompletableFuture<Void> prepare(Engine.Order order);
    }

    private final Engine mEngine;
    private final OrderGuard mGuard;
    private final String mLease;
    private final LeaseReader mReader;
    private final ScheduledExecutorService mExecutor;
    private final Clock mClock;
    private final MeterRegistry mRegistry;
    private final ArrayDeque<Waiting> mWaiting = new ArrayDeque<>();
    private Preparation mPreparation = order -> CompletableFuture.completedFuture(null);
    private Waiting mPrepared;
    private boolean mPreparing;
    private boolean mConfirming;
    private volatile boolean mClosed;

    private FencedOrders(
            Engine engine,
            OrderGuard guard,
            String lease,
            LeaseReader reader,
            ScheduledExecutorService executor,
            Clock clock,
            MeterRegistry registry) {
        mEngine = engine;
        mGuard = guard;
        mLease = lease;
        mReader = reader;
        mExecutor = executor;
        mClock = clock;
        mRegistry = registry;
    }

    /**
     * Starts the way to one engine.
     *
     * @param executor one thread, which nothing blocks, so that a pause of the process shows
     */
    public static FencedOrders start(
            Engine engine,
            OrderGuard guard,
            String lease,
            LeaseReader reader,
            ScheduledExecutorService executor,
            Clock clock,
            MeterRegistry registry) {
        var orders = new FencedOrders(engine, guard, lease, reader, executor, clock, registry);
        orders.tick();
        return orders;
    }

    /**
     * Lets each order wait for this before it is passed on. Its token is looked at before, so that
     * no old order sets an engine aside, and again after.
     */
    public void prepareBy(Preparation preparation) {
        mExecutor.execute(() -> mPreparation = preparation);
    }

    /** Takes whether the engine itself refuses older tokens. */
    public void setEngineChecks(boolean engineChecks) {
        mExecutor.execute(() -> mGuard.setEngineChecksFencing(engineChecks));
    }

    /** Passes an order on when its turn comes. */
    public CompletableFuture<Void> order(Engine.Order order) {
        var waiting = new Waiting(order, new CompletableFuture<>());
        mExecutor.execute(() -> add(waiting));
        return waiting.result();
    }

    /** Stops; orders that wait are refused. */
    @Override
    public void close() {
        mClosed = true;
        mExecutor.execute(() -> mWaiting.forEach(one -> refuse(one, "the agent stops", null)));
    }

    private void tick() {
        if (!mClosed) {
            mGuard.tick(mClock.monotonicTime());
            mExecutor.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void add(Waiting waiting) {
        if (mClosed || mWaiting.size() >= WAITING_MAX) {
            refuse(waiting, "the agent stops or has too many orders", null);
            return;
        }
        mWaiting.addLast(waiting);
        next();
    }

    private void next() {
        if (mWaiting.isEmpty() || mConfirming || mPreparing) {
            return;
        }
        var first = mWaiting.getFirst();
        switch (mGuard.offer(first.order().fencingToken(), mClock.monotonicTime())) {
            case OrderDecision.Run run -> passPrepared(first);
            case OrderDecision.Refuse refuse -> {
                refuse(mWaiting.removeFirst(), "token " + refuse.newestToken() + " is newer", null);
                next();
            }
            case OrderDecision.Busy busy -> mRegistry.counter("fescue.orders.waited").increment();
            case OrderDecision.Confirm confirm -> confirm();
        }
    }

    private void passPrepared(Waiting first) {
        if (mPrepared == first) {
            mPrepared = null;
            mWaiting.removeFirst();
            pass(first);
            return;
        }
        mGuard.finished();
        mPreparing = true;
        mPreparation
                .prepare(first.order())
                .whenCompleteAsync((done, failure) -> onPrepared(first, failure), mExecutor);
    }

    private void onPrepared(Waiting waiting, Throwable failure) {
        mPreparing = false;
        if (failure == null) {
            mPrepared = waiting;
        } else if (mWaiting.remove(waiting)) {
            refuse(waiting, "the engine is not ready for it", failure);
        }
        next();
    }

    private void pass(Waiting waiting) {
        mRegistry.counter("fescue.orders.passed").increment();
        mEngine.order(waiting.order())
                .whenCompleteAsync((done, failure) -> onAnswer(waiting, failure), mExecutor);
    }

    private void onAnswer(Waiting waiting, Throwable failure) {
        mGuard.finished();
        if (failure == null) {
            waiting.result().complete(null);
        } else {
            waiting.result().completeExceptionally(failure);
        }
        next();
    }

    private void confirm() {
        mConfirming = true;
        mReader.newest(mLease).whenCompleteAsync(this::onConfirmed, mExecutor);
    }

    private void onConfirmed(LeaseReader.Newest newest, Throwable failure) {
        mConfirming = false;
        if (failure == null) {
            mGuard.confirmed(newest.token(), newest.sentAtNanos());
            next();
            return;
        }
        while (!mWaiting.isEmpty()) {
            refuse(mWaiting.removeFirst(), "the token can't be confirmed in the log", failure);
        }
    }

    private void refuse(Waiting waiting, String why, Throwable cause) {
        mRegistry.counter("fescue.orders.refused").increment();
        var order = waiting.order();
        var message =
                "the order to "
                        + order.kind()
                        + " "
                        + order.subject()
                        + " with token "
                        + order.fencingToken()
                        + " was not passed on: "
                        + why;
        waiting.result().completeExceptionally(new OrderRefusedException(message, cause));
    }
}
