package org.fescueport.platform;

import static org.fescueport.platform.Installation.request;
import static org.fescueport.platform.ReplicaStandIn.headersFor;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.atomic.AtomicInteger;
import org.fescueport.platform.RawServer.Script;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a status that reaches the caller from a head that has not ended. */
class TruncatedHeadTest {
    private static final String[] FRAMINGS = {
        "Content-Length: 18\r\n\r\nid: 1\ndata: whole\n\n",
        "Transfer-Encoding: chunked\r\n\r\n12\r\nid: 1\ndata: whole\n\r\n0\r\nA: b\r\n\r\n",
        "\r\n"
    };

    @ParameterizedTest
    @CsvSource({
        "safe, 0",
        "safe, 1",
        "unsafe, 0",
        "unsafe, 1",
        "once, 1",
        "stream, 1",
        "safe, 2",
        "once, 2"
    })
    void shouldGiveNoCallerASuccessFromAnAnswerThatEndsTooEarly(String route, int framing)
            throws Exception {
        var length = new AtomicInteger(Integer.MAX_VALUE);
        Script truncated =
                (request, wire) -> {
                    String answer =
                            "HTTP/1.1 200 OK\r\n"
                                    + headersFor(request)
                                    + "Content-Type: text/event-stream\r\n"
                                    + FRAMINGS[framing];
                    length.compareAndSet(Integer.MAX_VALUE, answer.length());
                    int end = Integer.parseInt(request.target().split("/")[2]);
                    wire.write(answer.substring(0, Math.min(end, answer.length())));
                    wire.socket().close();
                };
        try (var fleet = Installation.start(truncated, truncated)) {
            for (int end = 0; end < length.get(); end += 3) {
                String path = "/" + route + "/" + end;
                var answer = fleet.ask(request("GET", path, "id-" + end, ""));
                boolean isWholeSuccess = answer.status() < 300 && answer.complete();
                assertThat(path, isWholeSuccess && answer.status() > 0, is(false));
            }
        }
    }
}
