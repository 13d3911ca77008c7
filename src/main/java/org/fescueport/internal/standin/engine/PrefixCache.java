package org.fescueport.internal.standin.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Cached prompt prefixes in limited memory: blocks of tokens, each named by a hash that is chained
 * over all blocks before it, the least recently used evicted first. Not thread-safe.
 */
final class PrefixCache {
    /** Tokens in one block. */
    static final int BLOCK_TOKENS = 16;

    private static final long FACTOR = 0x9E3779B97F4A7C15L;

    private final int mCapacityBlocks;
    private final CacheEvents mEvents;
    private final LinkedHashMap<Long, Boolean> mBlocks = new LinkedHashMap<>(16, 0.75f, true);

    private PrefixCache(int capacityBlocks, CacheEvents events) {
        mCapacityBlocks = capacityBlocks;
        mEvents = events;
    }

    static PrefixCache create(int capacityBlocks, CacheEvents events) {
        return new PrefixCache(capacityBlocks, events);
    }

    /** Returns the chained hashes of the whole blocks of {@code tokens}. */
    static long[] blocksOf(long[] tokens) {
        var blocks = new long[tokens.length / BLOCK_TOKENS];
        long hash = 0;
        for (int i = 0; i < blocks.length * BLOCK_TOKENS; i++) {
            hash = (Long.rotateLeft(hash, 23) ^ tokens[i]) * FACTOR;
            if ((i + 1) % BLOCK_TOKENS == 0) {
                blocks[i / BLOCK_TOKENS] = hash;
            }
        }
        return blocks;
    }

    /** Returns how many leading blocks are cached. */
    int cachedBlocks(long[] blocks) {
        int count = 0;
        while (count < blocks.length && mBlocks.containsKey(blocks[count])) {
            count++;
        }
        return count;
    }

    /** Stores the blocks and marks them as just used, the head of the prefix most recently. */
    void store(long[] blocks) {
        for (int i = blocks.length - 1; i >= 0; i--) {
            if (mBlocks.put(blocks[i], Boolean.TRUE) == null) {
                mEvents.add(CacheEvents.Kind.STORED, blocks[i]);
            }
        }
        evict();
    }

    int size() {
        return mBlocks.size();
    }

    private void evict() {
        var oldest = mBlocks.entrySet().iterator();
        while (mBlocks.size() > mCapacityBlocks) {
            Map.Entry<Long, Boolean> block = oldest.next();
            mEvents.add(CacheEvents.Kind.EVICTED, block.getKey());
            oldest.remove();
        }
    }
}
