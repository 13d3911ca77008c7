package org.fescueport.internal.decision.claim;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.fescueport.internal.decision.Invariants;
import org.fescueport.internal.decision.claim.ClaimRecord.Claim;
import org.fescueport.internal.decision.claim.ClaimRecord.Finished;
import org.fescueport.internal.decision.claim.ClaimRecord.GivenBack;

/**
 * What one claim stream says, folded in log order; the same records give the same verdicts
 * everywhere.
 *
 * <p>The first valid claim for a key holds it until it is given back. A claim is valid if the log
 * appended it neither after its own {@code validUntilMillis} nor before the key's time less the
 * skew. So all claims that can matter for a key stand after that time, and a fold that began later
 * refuses the key instead of deciding it: see {@link #canDecide}.
 *
 * <pre>{@code
 * fold.beginAt(oldestAppendedAt);
 * fold.apply(entry.offset(), entry.appendedAtMillis(), record);
 * ClaimVerdict verdict = fold.verdict(claim);
 * }</pre>
 */
public final class ClaimFold {
    /** Claims for one key after which further ones are not looked at. */
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

    /** Returns the fold of an unread stream, which accepts no key yet. */
    public static ClaimFold create(int maxKeys, long skewMillis) {
        return new ClaimFold(maxKeys, skewMillis);
    }

    /** Forgets everything and begins at records that the log appended at this time or later. */
    public void beginAt(long appendedAtMillis, long offset) {
        mKeys.clear();
        mOldestKeyMillis = appendedAtMillis + mSkewMillis + 1;
        mNextOffset = offset;
    }

    /** Begins at the very first record of the stream. */
    public void beginAtOrigin() {
        mKeys.clear();
        mOldestKeyMillis = Long.MIN_VALUE;
        mNextOffset = 0;
    }

    /** Returns whether all records that can matter for the key are known here. */
    public boolean canDecide(IdempotencyKey key) {
        return key.millis() >= mOldestKeyMillis;
    }

    /** Returns whether no further keys can be taken in without forgetting others. */
    public boolean isFull() {
        return mKeys.size() >= mMaxKeys;
    }

    /** Returns how many keys are remembered. */
    public int size() {
        return mKeys.size();
    }

    /** Forgets the keys before this time; they are refused from now on. */
    public void forgetBefore(long millis) {
        mOldestKeyMillis = Math.max(mOldestKeyMillis, millis);
        while (!mKeys.isEmpty() && !canDecide(mKeys.firstKey())) {
            mKeys.pollFirstEntry();
        }
    }

    /** Takes in the next record of the stream. */
    public void apply(long offset, long appendedAtMillis, ClaimRecord record) {
        Invariants.check(
                offset >= mNextOffset, "offset %d is folded after %d", offset, mNextOffset - 1);
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

    /** Returns the verdict on a claim; null when it does not stand in the log as far as known. */
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

    /** Returns the answer of a key that was run, null when none is known. */
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
