package org.fescueport.internal.decision.placement;

/**
 * A binary heap of the indexes of an array of costs: the index of the lowest cost is removed first,
 * and of equal costs the lower index. This class is not thread-safe.
 */
final class CostHeap {
    private final double[] mCosts;
    private final int[] mIndexes;
    private int mSize;

    private CostHeap(double[] costs) {
        mCosts = costs;
        mIndexes = new int[costs.length];
        mSize = costs.length;
    }

    /** Returns a heap of all indexes; the array must not be changed while the heap is in use. */
    static CostHeap of(double[] costs) {
        var heap = new CostHeap(costs);
        for (int i = 0; i < costs.length; i++) {
            heap.mIndexes[i] = i;
        }
        for (int i = costs.length / 2 - 1; i >= 0; i--) {
            heap.siftDown(i);
        }
        return heap;
    }

    /** Removes the index of the lowest cost; the heap must not be empty. */
    int removeLowest() {
        int lowest = mIndexes[0];
        mSize--;
        mIndexes[0] = mIndexes[mSize];
        siftDown(0);
        return lowest;
    }

    private void siftDown(int from) {
        int at = from;
        int moved = mIndexes[from];
        while (2 * at + 1 < mSize) {
            int child = 2 * at + 1;
            if (child + 1 < mSize && isBefore(mIndexes[child + 1], mIndexes[child])) {
                child++;
            }
            if (!isBefore(mIndexes[child], moved)) {
                break;
            }
            mIndexes[at] = mIndexes[child];
            at = child;
        }
        mIndexes[at] = moved;
    }

    private boolean isBefore(int left, int right) {
        int order = Double.compare(mCosts[left], mCosts[right]);
        return order < 0 || (order == 0 && left < right);
    }
}
