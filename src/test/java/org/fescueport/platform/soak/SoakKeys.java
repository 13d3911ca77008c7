package org.fescueport.platform.soak;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Keys that each configuration gives and the next one withdraws: a process that has refused one
 * must never take it again.
 */
final class SoakKeys {
    private static final int REFUSED = 401;
    private static final int SERVED = 200;

    private record Refusal(String process, int version) {}

    private final Set<Refusal> mRefusals = ConcurrentHashMap.newKeySet();
    private final SoakRecords mRecords;

    SoakKeys(SoakRecords records) {
        mRecords = records;
    }

    /** Returns the key that only this version of the configuration knows. */
    static String keyOf(int version) {
        return "only-" + version;
    }

    /**
     * Takes in an answer to a request with such a key.
     *
     * @param process names one life of a node; requests were sent and answered within it
     */
    void onAnswer(String process, int version, int status, boolean newest) {
        var refusal = new Refusal(process, version);
        if (status == REFUSED && !newest) {
            mRefusals.add(refusal);
        } else if (status == SERVED && mRefusals.contains(refusal)) {
            mRecords.broken(process + " takes the key of version " + version + " again");
        }
    }
}
