package org.fescueport.internal.decision.admission;

import java.util.HashMap;
import java.util.Map;
import org.fescueport.internal.decision.AttemptId;

/**
 * The running requests of a replica. Their load counts in full until they end, since a request
 * stays in the engine's batch until its last token. Their remaining tokens are used to predict
 * queueing times.
 */
final class RunningWork {
    /** Tokens that are assumed to remain of an answer that is longer than expected. */
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

    /** Records that the prefill is done, so that only the decode tokens of the answer are left. */
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

    /** Removes and returns a request; returns null if it is not running. */
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
