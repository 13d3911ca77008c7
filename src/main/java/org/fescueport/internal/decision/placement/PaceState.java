package org.fescueport.internal.decision.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.fescueport.internal.decision.attempt.AgentIncarnation;

/** How much one incarnation of a replica gets from this node, and the signs that decide on it. */
final class PaceState {
    /** Share of a new incarnation; also the smallest share, so that signs keep coming. */
    static final double MIN_SHARE = 1.0 / 16;

    /** Shortest time between two changes of the share. */
    private static final Duration MIN_ROUND = Duration.ofMillis(50);

    /** Time after which the share doubles although this node saw no sign, good or bad. */
    private static final Duration QUIET_ROUND = Duration.ofMillis(1_000);

    /** Each bad sign doubles the time until the share grows without signs, up to 2^4 times. */
    private static final int MAX_BACKOFF = 4;

    /** Signs by which a replica with its full share is judged. */
    private static final int SETTLED_SIGNS = 8;

    /** Failures without a success in between that make an incarnation start anew. */
    private static final int FAILURES_TO_RESTART = 2;

    /** Part of bad signs in the pool from which one more sign says less about a replica. */
    private static final double COMMON_FAILURE = 0.2;

    /** Doublings from the smallest share to the full one. */
    private static final int MAX_DOUBLINGS = 4;

    private static final double CAUTIOUS_DECREASE = 0.5;
    private static final double DECREASE = 0.25;

    /** Number of requests that may be saved up for a replica that ranks first for few of them. */
    private static final double MAX_CREDIT = 2;

    final AgentIncarnation mLife;
    final double mWeight;
    final Deque<ReplicaPace.Sending> mPending = new ArrayDeque<>();
    private double mShare = 1;
    private ReplicaPace.State mState = ReplicaPace.State.FULL;
    private double mCredit;
    private boolean mSettled = true;
    private int mGood;
    private int mBad;
    private int mFailuresInRow;
    private int mBackoff;
    private long mChangedAtNanos;
    private long mSeenAtNanos;
    private boolean mCouldGrow = true;
    private long mQuietNanos;

    private PaceState(AgentIncarnation life, double weight, long nowNanos) {
        mLife = life;
        mWeight = weight;
        mChangedAtNanos = nowNanos;
        mSeenAtNanos = nowNanos;
    }

    /** Returns the state of a replica that gets its full share. */
    static PaceState full(AgentIncarnation life, double weight, long nowNanos) {
        return new PaceState(life, weight, nowNanos);
    }

    /**
     * Makes the incarnation start with the smallest share.
     *
     * @param credit part of a request that it may get at once; random, so that nodes differ
     */
    void restart(ReplicaPace.State state, double credit, long nowNanos) {
        mSettled = false;
        mCredit = credit;
        change(MIN_SHARE, state, nowNanos);
    }

    double share() {
        return mShare;
    }

    ReplicaPace.State state() {
        return mState;
    }

    boolean isHeldBack() {
        return mShare < 1;
    }

    boolean hasCredit() {
        return mCredit >= 1;
    }

    void addCredit(double credit) {
        mCredit = Math.min(MAX_CREDIT, mCredit + credit);
    }

    void useCredit() {
        mCredit = Math.max(-1, mCredit - 1);
    }

    /** Returns whether a request was sent after the last change, so that its answer tells of it. */
    boolean isOfThisRound(long sentNanos) {
        return sentNanos - mChangedAtNanos >= 0;
    }

    /**
     * Lets the share grow after a time without any sign.
     *
     * @param mayGrow whether the replica could have got a request, and none is on its way there,
     *     whose answer will be a sign
     */
    void onConsidered(boolean mayGrow, long nowNanos) {
        if (mayGrow && mCouldGrow) {
            mQuietNanos += nowNanos - mSeenAtNanos;
        }
        mCouldGrow = mayGrow;
        mSeenAtNanos = nowNanos;
        long rounds = mQuietNanos / (QUIET_ROUND.toNanos() << mBackoff);
        if (isHeldBack() && rounds > 0) {
            grow(mShare * Math.scalb(1.0, (int) Math.min(rounds, MAX_DOUBLINGS)), nowNanos);
        }
    }

    /**
     * Records a quick success.
     *
     * @param ratio load of the replica per slot relative to its pool: what all nodes send there
     * @param usual part of the pool's signs that are bad
     */
    void onGood(double ratio, double usual, long nowNanos) {
        mGood++;
        mFailuresInRow = 0;
        mQuietNanos = 0;
        boolean roundOver = nowNanos - mChangedAtNanos >= MIN_ROUND.toNanos();
        if (!isHeldBack()) {
            judgeFull(usual, nowNanos);
        } else if (roundOver && mGood > mBad) {
            mBackoff = Math.max(0, mBackoff - 1);
            grow(Math.max(2 * mShare, ratio), nowNanos);
        }
    }

    /**
     * Records a slow answer, a refusal or a failure.
     *
     * @param usual part of the pool's signs that are bad
     */
    void onBad(double usual, long nowNanos) {
        mBad++;
        mQuietNanos = 0;
        if (!isHeldBack()) {
            judgeFull(usual, nowNanos);
        } else if (mBad > mGood) {
            shrink(usual > COMMON_FAILURE ? CAUTIOUS_DECREASE : DECREASE, nowNanos);
        }
    }

    /** Records a failure in addition to {@link #onBad}; returns whether the replica is down. */
    boolean isDownAfterFailure() {
        mFailuresInRow++;
        return mFailuresInRow >= FAILURES_TO_RESTART;
    }

    /** A single bad answer says little about a replica that has been sound for some time. */
    private void judgeFull(double usual, long nowNanos) {
        int signs = mGood + mBad;
        if (signs < (mSettled ? SETTLED_SIGNS : 1)) {
            return;
        }
        if (mBad > signs * (1 + usual) / 2) {
            shrink(mSettled ? CAUTIOUS_DECREASE : DECREASE, nowNanos);
        } else if (signs >= SETTLED_SIGNS) {
            mSettled = true;
            mGood = 0;
            mBad = 0;
        }
    }

    private void shrink(double factor, long nowNanos) {
        mBackoff = Math.min(MAX_BACKOFF, mBackoff + 1);
        change(Math.max(MIN_SHARE, factor * mShare), ReplicaPace.State.HELD_BACK, nowNanos);
    }

    private void grow(double share, long nowNanos) {
        change(Math.min(1, share), share >= 1 ? ReplicaPace.State.FULL : mState, nowNanos);
    }

    private void change(double share, ReplicaPace.State state, long nowNanos) {
        mShare = share;
        mState = state;
        mGood = 0;
        mBad = 0;
        mQuietNanos = 0;
        mChangedAtNanos = nowNanos;
    }
}
