package org.fescueport.internal.standin;

import java.util.ArrayDeque;

/** A value that its readers see late. */
public final class Lagging<T> {
    private record Change<T>(T value, long atMillis) {}

    private static final int KEPT_CHANGES = 1024;

    private final ArrayDeque<Change<T>> mChanges = new ArrayDeque<>();
    private T mVisible;

    private Lagging(T first) {
        mVisible = first;
    }

    /** Returns a value that is {@code first} until a change becomes visible. */
    public static <T> Lagging<T> of(T first) {
        return new Lagging<>(first);
    }

    /** Changes the value; of very many changes within the lag, the last ones are merged. */
    public synchronized void set(T value, long nowMillis) {
        long atMillis = nowMillis;
        if (mChanges.size() == KEPT_CHANGES) {
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
