package org.fescueport.internal.standin;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Runs the stand-ins of one process, prints their addresses on standard output and stops them on
 * SIGTERM: their health checks report that they are leaving, then runs in progress end, then they
 * stop in the order in which they were added.
 */
final class StandinProcess {
    private static final Duration IDLE_LIMIT = Duration.ofSeconds(30);
    private static final long IDLE_CHECK_MILLIS = 20;

    private final Map<String, Standin> mStandins = new LinkedHashMap<>();
    private final Duration mNotice;

    private StandinProcess(Duration notice) {
        mNotice = notice;
    }

    /**
     * Creates a process without stand-ins.
     *
     * @param notice time between the report that a stand-in is leaving and its stop
     */
    static StandinProcess create(Duration notice) {
        return new StandinProcess(notice);
    }

    /** Adds the only stand-in and prints its address. */
    void add(Standin standin) {
        mStandins.put("", standin);
        System.out.println("listening " + standin.address());
    }

    /** Adds one of several stand-ins and prints its name and address. */
    void add(String name, Standin standin) {
        mStandins.put(name, standin);
        System.out.println(name + " listening " + standin.address());
    }

    /** Waits for the process to be stopped; does not return before. */
    void run() throws InterruptedException {
        System.out.flush();
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "standin-stop"));
        new CountDownLatch(1).await();
    }

    private void stop() {
        var stopping = new CountDownLatch(1);
        mStandins.values().forEach(Standin::leave);
        try {
            pause(stopping, mNotice.toMillis());
            long checks = IDLE_LIMIT.toMillis() / IDLE_CHECK_MILLIS;
            while (checks > 0 && !mStandins.values().stream().allMatch(Standin::isIdle)) {
                pause(stopping, IDLE_CHECK_MILLIS);
                checks--;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        mStandins.values().forEach(Standin::stop);
    }

    private static void pause(CountDownLatch never, long millis) throws InterruptedException {
        boolean unused = never.await(millis, TimeUnit.MILLISECONDS);
    }
}
