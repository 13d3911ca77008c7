package org.fescueport.internal.decision.admission;

import java.util.HashMap;
import java.util.Map;
import org.fescueport.internal.decision.AttemptId;

/**
 * Requests that run. Their load counts in full until they end, since an engine's batch carries a
 * request until its last token; what remains of them is used to predict waits.
 */
final class RunningWork {
    /** Tokens that an answer longer than expected is still taken to need. */
    private static final long MIN_REMAINING_TOKENS = 8;

    private static final class Entry {
        final WorkOffer mOffer;
        long mLoadTokens;
        long mRemainingTokens;

        Entry(WorkOffer offer) {
            mOffer = offer;
            mLoadTokens = offer.work().loadTokens();
            mRemainingTokens = mLoadTokens;
        }
    }

    private final Map<AttemptId, Entry> mEntries = new HashMap<>();
    private long mLoadTokens;
    private long mRemainingTokens;

    int size() {
        return mEntries.size();
    }

    long loadTokens() {
        return mLoadTokens;
    }

    long remainingTokens() {
        return mRemainingTokens;
    }

    boolean contains(AttemptId id) {
        return mEntries.containsKey(id);
    }

    void add(WorkOffer offer) {
        var entry = new Entry(offer);
        mEntries.put(offer.id(), entry);
        mLoadTokens += entry.mLoadTokens;
        mRemainingTokens += entry.mRemainingTokens;
    }

    /** The prefill is done: what is left is the answer. */
    void onPrefilled(AttemptId id) {
        var entry = mEntries.get(id);
        if (entry != null) {
            long decode = Math.max(1, entry.mOffer.work().decodeTokens());
            mLoadTokens += decode - entry.mLoadTokens;
            entry.mLoadTokens = decode;
            setRemaining(entry, Math.min(entry.mRemainingTokens, decode));
        }
    }

    void onTokens(AttemptId id, long tokens) {
        var entry = mEntries.get(id);
        if (entry != null) {
            setRemaining(entry, entry.mRemainingTokens - tokens);
        }
    }

    /** Takes a request out; null when it does not run. */
    WorkOffer remove(AttemptId id) {
        var entry = mEntries.remove(id);
        if (entry == null) {
            return null;
        }
        mLoadTokens -= entry.mLoadTokens;
        mRemainingTokens -= entry.mRemainingTokens;
        return entry.mOffer;
    }

    private void setRemaining(Entry entry, long tokens) {
        long remaining = Math.max(tokens, MIN_REMAINING_TOKENS);
        mRemainingTokens += remaining - entry.mRemainingTokens;
        entry.mRemainingTokens = remaining;
    }
}
