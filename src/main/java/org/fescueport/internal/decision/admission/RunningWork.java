package org.fescueport.internal.decision.admission;

import java.util.HashMap;
import java.util.Map;
import org.fescueport.internal.decision.AttemptId;

/** Requests that run, and the tokens that they still have before them. */
final class RunningWork {
    /** Tokens that an answer longer than expected is still taken to need. */
    private static final long LEAST_REMAINING_TOKENS = 8;

    private static final class Entry {
        final WorkOffer mOffer;
        long mRemainingTokens;

        Entry(WorkOffer offer) {
            mOffer = offer;
            mRemainingTokens = offer.work().loadTokens();
        }
    }

    private final Map<AttemptId, Entry> mEntries = new HashMap<>();
    private long mTokens;

    int size() {
        return mEntries.size();
    }

    long tokens() {
        return mTokens;
    }

    boolean contains(AttemptId id) {
        return mEntries.containsKey(id);
    }

    void add(WorkOffer offer) {
        var entry = new Entry(offer);
        mEntries.put(offer.id(), entry);
        mTokens += entry.mRemainingTokens;
    }

    /** The prefill is done: what remains is the answer. */
    void onPrefilled(AttemptId id) {
        var entry = mEntries.get(id);
        if (entry != null) {
            setRemaining(entry, Math.min(entry.mRemainingTokens, decodeTokens(entry)));
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
        mTokens -= entry.mRemainingTokens;
        return entry.mOffer;
    }

    private void setRemaining(Entry entry, long tokens) {
        long remaining = Math.max(tokens, LEAST_REMAINING_TOKENS);
        mTokens += remaining - entry.mRemainingTokens;
        entry.mRemainingTokens = remaining;
    }

    private static long decodeTokens(Entry entry) {
        return entry.mOffer.work().decodeTokens();
    }
}
