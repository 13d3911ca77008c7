package org.fescueport.internal.load.experiment.model;

import java.util.LinkedHashMap;
import java.util.List;
import org.fescueport.internal.load.experiment.model.Call.Part;

/** Parts of prompts that an engine keeps; those that were not used for longest yield. */
final class PartCache {
    private final LinkedHashMap<Long, Integer> mParts = new LinkedHashMap<>(16, 0.75f, true);
    private long mTokens;

    /** Returns how many tokens of the first parts are kept, without a gap; marks them as used. */
    int use(List<Part> parts) {
        int held = 0;
        for (var part : parts) {
            if (mParts.get(part.id()) == null) {
                return held;
            }
            held += part.tokens();
        }
        return held;
    }

    void keep(List<Part> parts) {
        for (var part : parts) {
            if (mParts.put(part.id(), part.tokens()) == null) {
                mTokens += part.tokens();
            }
        }
    }

    /** Drops what was not used for longest until this much is kept at most. */
    void shrinkTo(long tokens) {
        var oldest = mParts.entrySet().iterator();
        while (mTokens > tokens && oldest.hasNext()) {
            mTokens -= oldest.next().getValue();
            oldest.remove();
        }
    }
}
