package org.fescueport.internal.standin;

import java.util.ArrayDeque;

/** A value whose changes become visible to readers after a delay. */
public final class Lagging<T> {
    private record Change<T>(T value, long atMillis) {}

    private static final int MAX_PENDING_CHANGES = 1024;

    private final ArrayDeque<Change<T>> mChanges = new ArrayDeque<>();
    private T mVisible;

    private Lagging(T first) {
        mVisible = first;
    }

    /** Creates a value that is {@code first} until a change becomes visible. */
    public static <T> Lagging<T> of(T first) {
        return new Lagging<>(first);
    }

    /**
     * Changes the value. Beyond {@link #MAX_PENDING_CHANGES} changes that are not visible yet, the
     * newest one replaces the one before it.
     */
    public synchronized void set(T value, long nowMillis) {
        long atMillis = nowMillis;
        if (mChanges.size() == MAX_PENDING_CHANGES) {
            atMillis = mChanges.removeLast().atMillis();
        }
        mChanges.add(new Change<>(value, atMillis));
    }

    /** Returns the value as it was {@code lagMillis} ago. */
    public synchronized T get(long nowMillis, long lagMillis) {
        while (!mChanges.isEmpty() && mChanges.peek().atMillis() + lagMillis <= nowMillis) {
            mVisible = mChanges.remove().value();
        }
        return mVisible;
    }
}
