package org.fescueport.scenarios;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/** What operators see of a process. */
final class Metrics {
    private static final long WAIT_SECONDS = 20;
    private static final long CHECK_MILLIS = 100;

    private Metrics() {}

    /** Waits until the metrics of the process with this admin address have such a line. */
    static void await(String admin, String pattern) throws InterruptedException {
        var line = Pattern.compile("^" + pattern + "$", Pattern.MULTILINE);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!line.matcher(of(admin)).find()) {
            if (System.nanoTime() > end) {
                throw new AssertionError(admin + " has no " + line + " in " + of(admin));
            }
            Thread.sleep(CHECK_MILLIS);
        }
    }

    private static String of(String admin) {
        return Http.send("GET", admin + "/metrics", "", Map.of()).join().body();
    }
}
