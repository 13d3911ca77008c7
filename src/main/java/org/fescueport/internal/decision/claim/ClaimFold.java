package org.fescueport.internal.decision.claim;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.claim.ClaimRecord.Claim;
import org.fescueport.internal.decision.claim.ClaimRecord.Finished;
import org.fescueport.internal.decision.claim.ClaimRecord.GivenBack;

/**
 * State of one claim stream, obtained by applying its records in log order. The same records give
 * the same verdicts in every process.
 *
 * <p>The first valid claim for a key holds the key until the claim is given back. A claim is valid
 * if the log appended it neither after its own {@code validUntilMillis} nor before the key's time
 * minus the clock skew. All valid claims for a key were therefore appended no earlier than that
 * time. A fold that started reading the stream later cannot decide the key and refuses it: see
 * {@link #canDecide}.
 *
 * <pre>{@code
 * fold.beginAt(oldestAppendedAtMillis, offset);
 * fold.apply(entry.offset(), entry.appendedAtMillis(), record);
 * ClaimVerdict verdict = fold.verdict(claim);
 * }</pre>
 */
public final class ClaimFold {
    /** Maximum number of claims per key; further ones are ignored. */
    private static final int MAX_CLAIMS_PER_KEY = 64;

    private enum ClaimStatus {
        WON,
        LOST,
        VOID,
        GIVEN_BACK
    }

    private static final class KeyState {
        private Claim mHolder;
        private Claim mFinishedClaim;
        private StoredAnswer mAnswer;
        private final Map<ClaimNonce, ClaimStatus> mStatuses = new HashMap<>(2);
    }

    private final int mMaxKeys;
    private final long mSkewMillis;
    private final TreeMap<IdempotencyKey, KeyState> mKeys = new TreeMap<>();
    private long mOldestKeyMillis = Long.MAX_VALUE;
    private long mNextOffset;

    private ClaimFold(int maxKeys, long skewMillis) {
        mMaxKeys = maxKeys;
        mSkewMillis = skewMillis;
    }

    /**
     * Returns the fold of a stream that has not been read yet; it cannot decide any key.
     *
     * @param maxKeys maximum number of keys that are kept
     * @param skewMillis maximum time in milliseconds by which clocks may differ
     */
    public static ClaimFold create(int maxKeys, long skewMillis) {
        return new ClaimFold(maxKeys, skewMillis);
    }

    /**
     * Clears the fold and prepares it to start in the middle of the stream.
     *
     * @param appendedAtMillis wall time in milliseconds at which the log appended the first record
     *     that will be applied
     * @param offset offset of that record
     */
    public void beginAt(long appendedAtMillis, long offset) {
        mKeys.clear();
        mOldestKeyMillis = appendedAtMillis + mSkewMillis + 1;
        mNextOffset = offset;
    }

    /** Clears the fold and prepares it to start at the first record of the stream. */
    public void beginAtOrigin() {
        mKeys.clear();
        mOldestKeyMillis = Long.MIN_VALUE;
        mNextOffset = 0;
    }

    /** Returns whether this fold covers every record that can affect the key. */
    public boolean canDecide(IdempotencyKey key) {
        return key.millis() >= mOldestKeyMillis;
    }

    /** Returns whether the maximum number of keys is reached, so that a new key evicts others. */
    public boolean isFull() {
        return mKeys.size() >= mMaxKeys;
    }

    /** Returns the number of keys in this fold. */
    public int size() {
        return mKeys.size();
    }

    /**
     * Removes the keys whose time is before {@code millis}, a wall time in milliseconds. They are
     * refused from now on.
     */
    public void forgetBefore(long millis) {
        mOldestKeyMillis = Math.max(mOldestKeyMillis, millis);
        while (!mKeys.isEmpty() && !canDecide(mKeys.firstKey())) {
            mKeys.pollFirstEntry();
        }
    }

    /** Applies the next record of the stream. */
    public void apply(long offset, long appendedAtMillis, ClaimRecord record) {
        Invariants.check(
                offset >= mNextOffset,
                "offset %d was applied after offset %d",
                offset,
                mNextOffset - 1);
        mNextOffset = offset + 1;
        if (!canDecide(record.key())) {
            return;
        }
        KeyState state = mKeys.computeIfAbsent(record.key(), key -> new KeyState());
        switch (record) {
            case Claim claim -> claim(state, claim, appendedAtMillis);
            case GivenBack givenBack -> giveBack(state, givenBack.nonce());
            case Finished finished -> finish(state, finished);
        }
        if (mKeys.size() > mMaxKeys) {
            forgetBefore(mKeys.firstKey().millis() + 1);
        }
    }

    /** Returns the verdict on a claim, or null if this fold has not seen the claim in the log. */
    public ClaimVerdict verdict(Claim claim) {
        if (!canDecide(claim.key())) {
            return new ClaimVerdict.Refused(ClaimRefusal.TOO_OLD, 0);
        }
        KeyState state = mKeys.get(claim.key());
        ClaimStatus fate = state == null ? null : state.mStatuses.get(claim.nonce());
        if (fate == null) {
            return null;
        }
        return switch (fate) {
            case WON -> new ClaimVerdict.Won();
            case LOST -> lost(state, claim);
            case VOID, GIVEN_BACK -> new ClaimVerdict.Refused(ClaimRefusal.TRY_AGAIN, 0);
        };
    }

    /**
     * Returns the verdict on a claim whose key already has a recorded answer, or null if no answer
     * is known.
     */
    public ClaimVerdict done(Claim claim) {
        KeyState state = mKeys.get(claim.key());
        return state == null || state.mAnswer == null ? null : lost(state, claim);
    }

    private void claim(KeyState state, Claim claim, long appendedAtMillis) {
        if (state.mStatuses.containsKey(claim.nonce())
                || state.mStatuses.size() >= MAX_CLAIMS_PER_KEY) {
            return;
        }
        boolean isLate = appendedAtMillis > claim.validUntilMillis();
        boolean isEarly = appendedAtMillis < claim.key().millis() - mSkewMillis;
        if (isLate || isEarly) {
            state.mStatuses.put(claim.nonce(), ClaimStatus.VOID);
        } else if (state.mHolder != null) {
            state.mStatuses.put(claim.nonce(), ClaimStatus.LOST);
        } else {
            state.mHolder = claim;
            state.mStatuses.put(claim.nonce(), ClaimStatus.WON);
        }
    }

    private static void giveBack(KeyState state, ClaimNonce nonce) {
        boolean wasRun = state.mFinishedClaim != null && state.mFinishedClaim.nonce().equals(nonce);
        if (!Invariants.observe(!wasRun)) {
            return;
        }
        state.mStatuses.put(nonce, ClaimStatus.GIVEN_BACK);
        if (state.mHolder != null && state.mHolder.nonce().equals(nonce)) {
            state.mHolder = null;
        }
    }

    private static void finish(KeyState state, Finished finished) {
        Claim holder = state.mHolder;
        if (holder == null || !holder.nonce().equals(finished.nonce())) {
            Invariants.observe(false);
            return;
        }
        Invariants.observe(
                state.mFinishedClaim == null
                        || state.mFinishedClaim.nonce().equals(finished.nonce()));
        if (state.mFinishedClaim == null) {
            state.mFinishedClaim = holder;
            state.mAnswer = finished.answer();
        }
    }

    private static ClaimVerdict lost(KeyState state, Claim claim) {
        Claim holder = state.mHolder;
        if (holder == null) {
            return new ClaimVerdict.Refused(ClaimRefusal.TRY_AGAIN, 0);
        }
        if (!holder.team().equals(claim.team())) {
            return new ClaimVerdict.Refused(ClaimRefusal.OTHER_TEAM, 0);
        }
        if (!holder.isSameAction(claim)) {
            return new ClaimVerdict.Refused(ClaimRefusal.OTHER_CONTENT, 0);
        }
        return state.mAnswer == null
                ? new ClaimVerdict.Held(holder.holder())
                : new ClaimVerdict.Done(state.mAnswer);
    }
}
