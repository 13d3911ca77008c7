package org.fescueport.platform;

import static org.fescueport.platform.Installation.get;
import static org.fescueport.platform.Scripts.GOOD;
import static org.fescueport.platform.Scripts.STREAM;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Callers that send the headers of a request slowly; the configuration allows 3 s for them. */
class SlowCallerTest {
    private static final Duration HEADER_TIME = Duration.ofSeconds(3);

    /** The next look at connections, and the way of the answer. */
    private static final Duration SLACK = Duration.ofSeconds(1);

    @Test
    void shouldRefuseHeadersThatTrickleInForLongerThanTheLimit() throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM);
                var caller = RawCaller.connect(fleet.router().callers())) {
            long start = System.nanoTime();
            caller.send("GET /safe/x HTTP/1.1\r\n");
            while (!caller.hasAnswer() && !isOver(start)) {
                caller.send("X: y\r\n");
                Await.pause(100);
            }
            assertThat(caller.receive().status(), is(408));
            Duration waited = Duration.ofNanos(System.nanoTime() - start);
            assertThat(waited, lessThan(HEADER_TIME.plus(SLACK)));
            assertThat(fleet.arrivals("api"), is(0));
        }
    }

    @Test
    void shouldNotCountTheTimeBeforeTheFirstByte() throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM);
                var caller = RawCaller.connect(fleet.router().callers())) {
            caller.send(get("/safe/x") + "\r\n");
            assertThat(caller.receive().status(), is(200));
            Await.pause((int) HEADER_TIME.plus(SLACK).toMillis());
            String request = get("/safe/x");
            caller.send(request.substring(0, 60));
            Await.pause(500);
            caller.send(request.substring(60));
            assertThat(caller.receive().status(), is(200));
        }
    }

    private static boolean isOver(long start) {
        return System.nanoTime() - start > HEADER_TIME.plus(SLACK).plus(SLACK).toNanos();
    }
}
