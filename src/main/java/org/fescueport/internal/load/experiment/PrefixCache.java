package org.fescueport.internal.load.experiment;

import java.util.LinkedHashMap;
import java.util.Map;

/** Stand-in for an engine's prefix cache: the chats used last, within a number of tokens. */
final class PrefixCache {
    private static final float LOAD_FACTOR = 0.75f;

    private final LinkedHashMap<Integer, Integer> mTokens =
            new LinkedHashMap<>(16, LOAD_FACTOR, true);
    private final long mCapacity;
    private long mUsed;

    PrefixCache(long capacityTokens) {
        mCapacity = capacityTokens;
    }

    /** Returns how many tokens of a chat are held, and counts as a use. */
    int use(int chat) {
        return mTokens.getOrDefault(chat, 0);
    }

    /** Returns the tokens held of each chat. */
    Map<Integer, Integer> chats() {
        return mTokens;
    }

    void put(int chat, int tokens) {
        var old = mTokens.put(chat, tokens);
        mUsed += tokens - (old == null ? 0 : old);
        var eldest = mTokens.entrySet().iterator();
        while (mUsed > mCapacity && eldest.hasNext()) {
            mUsed -= eldest.next().getValue();
            eldest.remove();
        }
    }
}
