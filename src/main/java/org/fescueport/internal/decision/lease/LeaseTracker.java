package org.fescueport.internal.decision.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;

/**
 * Tracks one lease for a node that is a candidate for it: whether the node holds the lease now, and
 * when it has to claim or renew it.
 *
 * <p>All instants are readings of the node's own monotonic clock in nanoseconds. Not thread-safe.
 *
 * <pre>{@code
 * var claim = tracker.claim("placement", nonce);
 * tracker.beforeAppend(claim.nonce(), nowNanos);
 * append(claim);
 * tracker.onAccepted(nonce, state, nowNanos);     // for each accepted record of the lease
 * tracker.tokenAt(nowNanos).ifPresent(token -> order(token));
 * }</pre>
 */
public final class LeaseTracker {
    // Beyond this number, claims whose records have not been read are forgotten.
    private static final int MAX_PENDING_CLAIMS = 16;

    private final LeaseHolder mSelf;
    private final LeaseTiming mTiming;
    private final Map<UUID, Long> mSentAtNanosByNonce = new HashMap<>();
    private Optional<LeaseState> mState = Optional.empty();
    private long mReadAtNanos;
    private long mHeldUntilNanos;
    private long mRenewAtNanos;
    private boolean mHeld;

    private LeaseTracker(LeaseHolder self, LeaseTiming timing) {
        mSelf = self;
        mTiming = timing;
    }

    /** Returns the tracker of a node that has not yet read any record of the lease. */
    public static LeaseTracker create(LeaseHolder self, LeaseTiming timing) {
        return new LeaseTracker(self, timing);
    }

    /**
     * Records that a claim is about to be appended. Must be called before the append is sent, since
     * the holder measures the lease's duration from this instant.
     */
    public void beforeAppend(UUID nonce, long nowNanos) {
        if (mSentAtNanosByNonce.size() >= MAX_PENDING_CLAIMS) {
            mSentAtNanosByNonce.clear();
        }
        mSentAtNanosByNonce.put(nonce, nowNanos);
    }

    /**
     * Records that an accepted record of this lease was read from the log.
     *
     * @param nonce the nonce of that record
     * @param state the state of the lease after it
     * @param nowNanos an instant after the record was read
     */
    public void onAccepted(UUID nonce, LeaseState state, long nowNanos) {
        mState = Optional.of(state);
        mReadAtNanos = nowNanos;
        var sentAtNanos = mSentAtNanosByNonce.remove(nonce);
        // Without the instant at which the claim was sent, this node can't tell until when it holds
        // the lease, so it must not act as the holder.
        mHeld = state.holder().equals(mSelf) && state.durationMillis() > 0 && sentAtNanos != null;
        if (mHeld) {
            mHeldUntilNanos = mTiming.heldUntilNanos(sentAtNanos);
            mRenewAtNanos = mTiming.renewAtNanos(sentAtNanos);
        }
    }

    /**
     * Continues from a snapshot's state. The state may be as recent as the read itself, so a
     * claimant measures the lease's duration from {@code nowNanos}.
     */
    public void onSnapshot(Optional<LeaseState> state, long nowNanos) {
        mState = state;
        mReadAtNanos = nowNanos;
        mHeld = false;
    }

    /** Returns the fencing token if this node holds the lease at this instant. */
    public Optional<Long> tokenAt(long nowNanos) {
        return mHeld && nowNanos - mHeldUntilNanos < 0
                ? mState.map(LeaseState::token)
                : Optional.empty();
    }

    /** Returns whether it is time to append a claim or a renewal. */
    public boolean isClaimDue(long nowNanos) {
        if (mHeld) {
            return nowNanos - mRenewAtNanos >= 0;
        }
        return mState.isEmpty()
                || nowNanos
                                - mTiming.claimableFromNanos(
                                        mReadAtNanos, mState.get().durationMillis())
                        >= 0;
    }

    /** Returns a claim or renewal, based on the last accepted record that this node has read. */
    public LeaseRecord.Claim claim(String lease, UUID nonce) {
        return new LeaseRecord.Claim(
                lease,
                mSelf,
                mState.map(LeaseState::last).orElse(0L),
                mTiming.durationMillis(),
                nonce);
    }

    /**
     * Stops using the lease immediately.
     *
     * @return the record that releases the lease; empty if this node does not hold it
     */
    public Optional<LeaseRecord.Claim> release(String lease, UUID nonce, long nowNanos) {
        var held = tokenAt(nowNanos).isPresent();
        mHeld = false;
        var last = mState.map(LeaseState::last).orElse(0L);
        return held
                ? Optional.of(new LeaseRecord.Claim(lease, mSelf, last, 0, nonce))
                : Optional.empty();
    }
}
