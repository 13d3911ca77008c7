package org.fescueport.internal.decision.order;

import org.fescueport.internal.decision.Invariants;

/**
 * Fences the orders to one engine: one at a time, and never one with an older token.
 *
 * <p>An agent is the only way to its engine, so engines that ignore fencing tokens are covered too.
 * What the agent can't know by itself is a newer holder that it has not heard of, because it was
 * paused or has just started; for such engines it confirms the token against the log first. Not
 * thread-safe.
 *
 * <pre>{@code
 * switch (guard.offer(order.fencingToken(), nowNanos)) {
 *     case Run run -> engine.order(order).whenComplete((v, e) -> guard.finished());
 *     case Confirm confirm -> readLease().thenAccept(token -> guard.confirmed(token, sentAtNanos));
 *     …
 * }
 * }</pre>
 */
public final class OrderGuard {
    private static final long MAX_TICK_GAP_NANOS = 250_000_000;
    private static final long MAX_CONFIRMATION_AGE_NANOS = 2_000_000_000;

    private boolean mEngineChecksFencing;
    private long mNewestToken;
    private boolean mRunning;
    private boolean mHasTicked;
    private long mLastTickNanos;
    private boolean mConfirmed;
    private long mConfirmedAtNanos;

    private OrderGuard(boolean engineChecksFencing) {
        mEngineChecksFencing = engineChecksFencing;
    }

    /** Returns a guard; {@code engineChecks} as declared by {@code checksFencing}. */
    public static OrderGuard create(boolean engineChecksFencing) {
        return new OrderGuard(engineChecksFencing);
    }

    /** Takes whether the engine itself refuses older tokens, when it is declared otherwise. */
    public void setEngineChecksFencing(boolean engineChecksFencing) {
        mEngineChecksFencing = engineChecksFencing;
    }

    /** Call this every 100 ms, so that a pause of this process is noticed. */
    public void tick(long nowNanos) {
        if (mHasTicked && nowNanos - mLastTickNanos > MAX_TICK_GAP_NANOS) {
            mConfirmed = false;
        }
        mHasTicked = true;
        mLastTickNanos = nowNanos;
    }

    /** Decides on an order that carries this fencing token. */
    public OrderDecision offer(long token, long nowNanos) {
        tick(nowNanos);
        if (token < mNewestToken) {
            return new OrderDecision.Refuse(mNewestToken);
        }
        if (mRunning) {
            return new OrderDecision.Busy();
        }
        var isStale = !mConfirmed || nowNanos - mConfirmedAtNanos > MAX_CONFIRMATION_AGE_NANOS;
        if (!mEngineChecksFencing && isStale) {
            return new OrderDecision.Confirm();
        }
        Invariants.check(token >= mNewestToken, "order %d after %d", token, mNewestToken);
        mNewestToken = token;
        mRunning = true;
        return new OrderDecision.Run();
    }

    /**
     * Hears the lease's newest token in the log.
     *
     * @param sentAtNanos when the read of the log was sent
     */
    public void confirmed(long newestToken, long sentAtNanos) {
        mNewestToken = Math.max(mNewestToken, newestToken);
        mConfirmed = true;
        mConfirmedAtNanos = sentAtNanos;
    }

    /** Hears that the engine has answered the order, or surely never got it. */
    public void finished() {
        mRunning = false;
    }

    /** Returns the newest token that is known. */
    public long newestToken() {
        return mNewestToken;
    }
}
