package org.fescueport.internal.decision.placement;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map that evicts the entry inserted first when it has more entries than allowed. */
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
