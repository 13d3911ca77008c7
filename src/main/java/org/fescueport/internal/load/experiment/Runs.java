package org.fescueport.internal.load.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Runs of one experiment, a few at a time; each shares nothing with the others, so their figures do
 * not depend on how many there are.
 */
final class Runs implements AutoCloseable {
    /** A large fleet takes up to about a gigabyte. */
    private static final int AT_ONCE = 3;

    private final ExecutorService mThreads = Executors.newFixedThreadPool(AT_ONCE);
    private final List<Future<Runnable>> mStarted = new ArrayList<>();

    /** Starts a run, which returns what writes its rows. */
    void add(String name, Callable<Runnable> run) {
        mStarted.add(
                mThreads.submit(
                        () -> {
                            var rows = run.call();
                            System.err.println("done: " + name);
                            return rows;
                        }));
    }

    /** Waits for all runs and writes their rows in the order in which they were added. */
    void report() {
        for (var run : mStarted) {
            try {
                run.get().run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IllegalStateException("interrupted while a run was under way", e);
            } catch (ExecutionException e) {
                throw new IllegalStateException("a run failed: " + e.getCause(), e.getCause());
            }
        }
    }

    @Override
    public void close() {
        mThreads.shutdownNow();
    }
}
