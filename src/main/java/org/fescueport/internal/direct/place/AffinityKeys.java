package org.fescueport.internal.direct.place;

import com.dynatrace.hash4j.hashing.Hashing;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.direct.forward.Prompt;

/** Computes the keys by which requests are assigned to replicas. */
public final class AffinityKeys {
    private AffinityKeys() {}

    /**
     * Returns the affinity of a request: a cacheable one from its model and the last part of its
     * prompt that other requests share, or one from the request ID alone if it shares nothing.
     */
    public static Affinity of(String requestId, Prompt prompt) {
        String shared = prompt.sharedPart();
        if (shared.isEmpty()) {
            return new Affinity(hash(requestId), false);
        }
        long part = hash(shared);
        long key = Hashing.komihash5_0().hashLongLongToLong(hash(prompt.model()), part);
        return new Affinity(key, true);
    }

    private static long hash(String text) {
        return Hashing.komihash5_0().hashCharsToLong(text);
    }
}
