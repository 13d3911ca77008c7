package org.fescueport.internal.load.experiment;

import java.util.PriorityQueue;

/** A clock that stands still while code runs, and moves from one scheduled action to the next. */
public final class VirtualTime {
    private record Event(long atNanos, long sequence, Runnable action)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    public static final long MILLI = 1_000_000L;
    public static final long SECOND = 1_000 * MILLI;

    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private long mNowNanos;
    private long mSequence;

    public long now() {
        return mNowNanos;
    }

    public void at(long nanos, Runnable action) {
        mEvents.add(new Event(Math.max(nanos, mNowNanos), mSequence++, action));
    }

    public void after(long nanos, Runnable action) {
        at(mNowNanos + nanos, action);
    }

    /** Runs an action again and again, first after one period. */
    public void every(long periodNanos, Runnable action) {
        after(
                periodNanos,
                () -> {
                    action.run();
                    every(periodNanos, action);
                });
    }

    public void runUntil(long nanos) {
        while (!mEvents.isEmpty() && mEvents.peek().atNanos() <= nanos) {
            var event = mEvents.poll();
            mNowNanos = event.atNanos();
            event.action().run();
        }
        mNowNanos = nanos;
    }
}
