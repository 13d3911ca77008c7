package org.fescueport.internal.decision.order;

import org.fescueport.internal.decision.Invariants;

/**
 * Fences the orders for one engine: only one order runs at a time, and an order with a fencing
 * token older than the newest known one is refused.
 *
 * <p>Orders reach an engine only through its agent, so engines that ignore fencing tokens are
 * protected as well. However, an agent that was paused or has just started may not know of a newer
 * lease holder. For engines that ignore fencing tokens, the guard therefore requires that the token
 * is first confirmed against the log. Not thread-safe.
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

    /**
     * Returns a guard.
     *
     * @param engineChecksFencing whether the engine itself refuses older fencing tokens, as
     *     declared by {@code checksFencing}
     */
    public static OrderGuard create(boolean engineChecksFencing) {
        return new OrderGuard(engineChecksFencing);
    }

    /** Sets whether the engine itself refuses older fencing tokens. */
    public void setEngineChecksFencing(boolean engineChecksFencing) {
        mEngineChecksFencing = engineChecksFencing;
    }

    /** Must be called every 100 ms, so that a pause of this process is detected. */
    public void tick(long nowNanos) {
        if (mHasTicked && nowNanos - mLastTickNanos > MAX_TICK_GAP_NANOS) {
            mConfirmed = false;
        }
        mHasTicked = true;
        mLastTickNanos = nowNanos;
    }

    /** Decides what to do with an order that carries this fencing token. */
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
        Invariants.check(
                token >= mNewestToken,
                "an order with token %d must not run after token %d",
                token,
                mNewestToken);
        mNewestToken = token;
        mRunning = true;
        return new OrderDecision.Run();
    }

    /**
     * Records the newest token of the lease, as read from the log.
     *
     * @param sentAtNanos monotonic time at which the read was sent, in nanoseconds
     */
    public void confirmed(long newestToken, long sentAtNanos) {
        mNewestToken = Math.max(mNewestToken, newestToken);
        mConfirmed = true;
        mConfirmedAtNanos = sentAtNanos;
    }

    /** Records that the engine has answered the running order or never received it. */
    public void finished() {
        mRunning = false;
    }

    /** Returns the newest known fencing token. */
    public long newestToken() {
        return mNewestToken;
    }
}
