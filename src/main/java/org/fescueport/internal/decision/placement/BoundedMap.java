package org.fescueport.internal.decision.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map that forgets the entry that came first once there are too many. */
final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
    private static final long serialVersionUID = 1L;

    private final int mMaxEntries;

    BoundedMap(int maxEntries) {
        mMaxEntries = maxEntries;
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > mMaxEntries;
    }
}
