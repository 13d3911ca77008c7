package org.fescueport.internal.supervision;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

/** A leaf of a supervisor tree: something that starts, runs and stops. */
public final class Worker implements Child {
    /** What a worker does when it starts; may keep the listener and report a failure later. */
    @FunctionalInterface
    public interface Start {
        /** Starts the work and returns what stops it. */
        Runnable start(FailureListener onFailure) throws Exception;
    }

    private static final Runnable NOTHING = () -> {};

    private final String mName;
    private final Start mStart;
    private final AtomicReference<Runnable> mStop = new AtomicReference<>(NOTHING);

    private Worker(String name, Start start) {
        mName = Objects.requireNonNull(name);
        mStart = Objects.requireNonNull(start);
    }

    /** Returns a worker that runs {@code start} each time it is started. */
    public static Worker of(String name, Start start) {
        return new Worker(name, start);
    }

    /** Returns a worker that repeats a task; an exception out of the task is a failure. */
    public static Worker periodic(
            String name, Duration interval, ScheduledExecutorService executor, Runnable task) {
        return of(name, onFailure -> schedule(interval, executor, task, onFailure));
    }

    @Override
    public String name() {
        return mName;
    }

    @Override
    public void start(FailureListener onFailure) throws Exception {
        mStop.set(mStart.start(onFailure));
    }

    @Override
    public void stop() {
        mStop.getAndSet(NOTHING).run();
    }

    private static Runnable schedule(
            Duration interval,
            ScheduledExecutorService executor,
            Runnable task,
            FailureListener onFailure) {
        Runnable guarded =
                () -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        onFailure.onFailure(e);
                        throw e;
                    }
                };
        Future<?> future =
                executor.scheduleWithFixedDelay(
                        guarded, 0, interval.toNanos(), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }
}
