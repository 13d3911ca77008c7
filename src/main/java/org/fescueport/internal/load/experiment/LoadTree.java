package org.fescueport.internal.load.experiment;

import java.util.Arrays;

/** Finds the least loaded of many replicas without looking at each; of equals, the first. */
final class LoadTree {
    /** Load of a replica that takes nothing any more. */
    static final long GONE = Long.MAX_VALUE;

    /** The loads, with the lower one of each pair above it; the lowest is at 1. */
    private long[] mLoads = {GONE, GONE};

    void set(int number, long tokens) {
        while (number >= leaves()) {
            grow();
        }
        int at = leaves() + number;
        if (mLoads[at] == tokens) {
            return;
        }
        mLoads[at] = tokens;
        for (at /= 2; at > 0; at /= 2) {
            mLoads[at] = Math.min(mLoads[2 * at], mLoads[2 * at + 1]);
        }
    }

    int least() {
        int at = 1;
        while (at < leaves()) {
            at = mLoads[2 * at] == mLoads[at] ? 2 * at : 2 * at + 1;
        }
        return at - leaves();
    }

    private int leaves() {
        return mLoads.length / 2;
    }

    private void grow() {
        var old = Arrays.copyOfRange(mLoads, leaves(), mLoads.length);
        mLoads = new long[4 * old.length];
        Arrays.fill(mLoads, GONE);
        for (int number = 0; number < old.length; number++) {
            set(number, old[number]);
        }
    }
}
