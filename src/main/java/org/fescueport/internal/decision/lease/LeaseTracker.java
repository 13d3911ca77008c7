package org.fescueport.internal.decision.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;

/**
 * One node's part in one lease: when to claim, when to renew, and whether it holds it now.
 *
 * <p>Times are the node's own monotonic nanoseconds. Not thread-safe.
 *
 * <pre>{@code
 * watch.onSent(claim.nonce(), nowNanos);          // before the append
 * watch.onAccepted(nonce, state, nowNanos);       // as each accepted record is read
 * watch.tokenAt(nowNanos).ifPresent(token -> order(token));
 * }</pre>
 */
public final class LeaseTracker {
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

    /** Returns the watch of a node that knows nothing yet. */
    public static LeaseTracker create(LeaseHolder self, LeaseTiming timing) {
        return new LeaseTracker(self, timing);
    }

    /** Hears that a claim is about to be appended; call it before the append is sent. */
    public void beforeAppend(UUID nonce, long nowNanos) {
        if (mSentAtNanosByNonce.size() >= MAX_PENDING_CLAIMS) {
            mSentAtNanosByNonce.clear();
        }
        mSentAtNanosByNonce.put(nonce, nowNanos);
    }

    /** Hears of an accepted record of this lease, which was read before {@code nowNanos}. */
    public void onAccepted(UUID nonce, LeaseState state, long nowNanos) {
        mState = Optional.of(state);
        mReadAtNanos = nowNanos;
        var sentAtNanos = mSentAtNanosByNonce.remove(nonce);
        // A record of this holder that it can't date is no ground to act on.
        mHeld = state.holder().equals(mSelf) && state.durationMillis() > 0 && sentAtNanos != null;
        if (mHeld) {
            mHeldUntilNanos = mTiming.heldUntilNanos(sentAtNanos);
            mRenewAtNanos = mTiming.renewAtNanos(sentAtNanos);
        }
    }

    /** Goes on from a snapshot's state, which may be as new as the moment of reading. */
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

    /** Returns the claim to append. */
    public LeaseRecord.Claim claim(String lease, UUID nonce) {
        return new LeaseRecord.Claim(
                lease,
                mSelf,
                mState.map(LeaseState::last).orElse(0L),
                mTiming.durationMillis(),
                nonce);
    }

    /** Stops holding at once, and returns the record that gives the lease back. */
    public Optional<LeaseRecord.Claim> release(String lease, UUID nonce, long nowNanos) {
        var held = tokenAt(nowNanos).isPresent();
        mHeld = false;
        var last = mState.map(LeaseState::last).orElse(0L);
        return held
                ? Optional.of(new LeaseRecord.Claim(lease, mSelf, last, 0, nonce))
                : Optional.empty();
    }
}
