package org.fescueport.internal.load.soak;

import io.micrometer.core.instrument.Clock;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.http.HttpCaller;

/** What all callers share. */
record SoakWorld(
        HttpCaller caller,
        Balancer balancer,
        SoakTally tally,
        Clock clock,
        CountDownLatch stopped) {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(40);

    /** A call that was sent. */
    record Sent(String router, String path, long atMillis, Reply reply, HttpCaller.Call call) {
        String detail() {
            return "%s sent at %d, status %d, %d characters"
                    .formatted(path, atMillis, reply.status(), reply.text().length());
        }
    }

    /** Sends a request to a router. */
    Sent send(String method, String router, String path, Map<String, String> headers, String body) {
        return send(method, router, path, headers, body, Integer.MAX_VALUE);
    }

    /** Sends a request; the reply tells when it has text of {@code watchedChars}. */
    Sent send(
            String method,
            String router,
            String path,
            Map<String, String> headers,
            String body,
            int watchedChars) {
        var reply = Reply.watching(watchedChars);
        var request =
                new HttpCaller.Request(
                        method,
                        router + path,
                        headers,
                        body.getBytes(StandardCharsets.UTF_8),
                        CALL_TIMEOUT);
        return new Sent(router, path, clock.wallTime(), reply, caller.stream(request, reply));
    }

    /** Waits for the end of a call and notes what the balancer and the audit need to know. */
    Reply.End await(Sent sent) {
        var end = sent.reply().end().join();
        if (end == Reply.End.NOT_SENT) {
            tally.count("connection refused");
            balancer.onRefused(sent.router());
        } else if (end == Reply.End.LOST) {
            tally.lost(clock.wallTime(), sent.router(), sent.detail());
        }
        return end;
    }

    /** Counts an outcome that is not as in fair weather. */
    void trouble(String outcome, String who) {
        tally.trouble(clock.wallTime(), outcome, who);
    }

    boolean isStopped() {
        return stopped.getCount() == 0;
    }

    /** Lets time pass, less when the run is stopped. */
    void pause(long millis) throws InterruptedException {
        var unused = stopped.await(millis, TimeUnit.MILLISECONDS);
    }
}
