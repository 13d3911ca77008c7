package org.fescueport.platform;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for what other threads bring about. */
final class Await {
    private static final long LIMIT_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private Await() {}

    static void until(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + LIMIT_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("not within 10 s: " + what);
            }
            LockSupport.parkNanos(STEP_NANOS);
        }
    }

    static void pause(long millis) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
    }
}
