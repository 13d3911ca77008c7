package org.fescueport.internal.direct.place;

import com.dynatrace.hash4j.hashing.Hashing;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.direct.forward.Prompt;

/** The keys by which requests are tied to replicas. */
public final class Affinities {
    private Affinities() {}

    /**
     * Returns the key of a request: of its model and the last part of its prompt that others share,
     * or of the request alone.
     */
    public static Affinity of(String requestId, Prompt prompt) {
        int shared = prompt.parts().size() - 2;
        if (shared < 0) {
            return new Affinity(hash(requestId), false);
        }
        long part = hash(prompt.parts().get(shared).id());
        long key = Hashing.komihash5_0().hashLongLongToLong(hash(prompt.model()), part);
        return new Affinity(key, true);
    }

    private static long hash(String text) {
        return Hashing.komihash5_0().hashCharsToLong(text);
    }
}
