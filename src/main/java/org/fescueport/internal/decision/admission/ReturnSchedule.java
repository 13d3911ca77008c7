package org.fescueport.internal.decision.admission;

import java.util.concurrent.TimeUnit;

/**
 * Plans when refused callers return, so that no more of them return in any short time than there
 * will be room for.
 *
 * <p>Time is divided into slots. Each refused caller is given the first slot in which fewer returns
 * are planned than there is room; if there is none before its latest time, the emptiest of the
 * later half. This class is not thread-safe.
 */
final class ReturnSchedule {
    private static final long SLOT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Number of slots; returns are planned at most this far ahead. */
    private static final int SLOTS = 64;

    private static final double NANOS_PER_SECOND = 1e9;

    private final int[] mPlanned = new int[SLOTS];
    private long mFirstSlot = Long.MIN_VALUE;

    /**
     * Plans one return.
     *
     * @param earliestNanos time from now before which there is no room
     * @param latestNanos time from now after which the caller gains nothing by returning
     * @param roomPerSecond returns that can be served per second
     * @return the time from now at which the caller is to return
     */
    long reserve(long earliestNanos, long latestNanos, double roomPerSecond, long nowNanos) {
        long current = Math.floorDiv(nowNanos, SLOT_NANOS);
        forgetBefore(current);
        int last = (int) Math.clamp(latestNanos / SLOT_NANOS, 0, SLOTS - 1);
        int first = (int) Math.clamp(earliestNanos / SLOT_NANOS + 1, 0, last);
        int slot = slotWithRoom(current, first, last, roomPerSecond);
        int planned = mPlanned[index(current + slot)]++;
        double perSlot = Math.max(1, roomPerSecond * SLOT_NANOS / NANOS_PER_SECOND);
        long withinSlot = (long) (Math.min(1, planned / perSlot) * SLOT_NANOS);
        long slotStart = (current + slot) * SLOT_NANOS - nowNanos;
        return Math.max(0, slotStart + withinSlot);
    }

    private int slotWithRoom(long current, int first, int last, double roomPerSecond) {
        double planned = 0;
        for (int slot = first; slot <= last; slot++) {
            planned += mPlanned[index(current + slot)];
            double room = roomPerSecond * (slot - first + 1) * SLOT_NANOS / NANOS_PER_SECOND;
            if (planned + 1 <= room) {
                return slot;
            }
        }
        return emptiest(current, (first + last) / 2, last);
    }

    private int emptiest(long current, int first, int last) {
        int emptiest = last;
        for (int slot = last; slot >= first; slot--) {
            if (mPlanned[index(current + slot)] < mPlanned[index(current + emptiest)]) {
                emptiest = slot;
            }
        }
        return emptiest;
    }

    private void forgetBefore(long current) {
        if (mFirstSlot == Long.MIN_VALUE || current - mFirstSlot >= SLOTS) {
            java.util.Arrays.fill(mPlanned, 0);
        } else {
            for (long slot = mFirstSlot; slot < current; slot++) {
                mPlanned[index(slot)] = 0;
            }
        }
        mFirstSlot = current;
    }

    private static int index(long slot) {
        return (int) Math.floorMod(slot, SLOTS);
    }
}
