package org.fescueport.platform;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for what other threads bring about. */
public final class Await {
    private static final long LIMIT_MILLIS = 10_000;
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private Await() {}

    static void until(String what, BooleanSupplier condition) {
        until(what, LIMIT_MILLIS, condition);
    }

    public static void until(String what, long millis, BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("not within " + millis + " ms: " + what);
            }
            LockSupport.parkNanos(STEP_NANOS);
        }
    }

    public static void pause(long millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }
}
