package org.fescueport.platform;

import static org.fescueport.platform.Installation.request;
import static org.fescueport.platform.ReplicaStandIn.headersFor;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.stream.Stream;
import org.fescueport.platform.RawServer.Script;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a head that is made of two: the beginning of an extra answer comes where the next
 * answer is expected, which follows it (review/6).
 */
class LateCutAnswerTest {
    /** Extra answers, which have no body; they come cut off behind any byte of their heads. */
    private static final List<String> EXTRA_ANSWERS =
            List.of(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 0\r\n",
                    "HTTP/1.1 204 No Content\r\nX-Other: a\r\n",
                    "HTTP/1.1 500 Not Done\r\nContent-Type: application/json\r\n",
                    "HTTP/1.1 503 Full\r\nFescueport-Not-Executed: 1\r\nContent-Length: 0\r\n",
                    "HTTP/1.1 421 Elsewhere\r\nFescueport-Not-Executed: 1\r\n",
                    "HTTP/1.1 103 Early\r\nLink: </a>; rel=preload\r\n");

    private static final int MIN_STATUS_OF_UNKNOWN_OUTCOME = 502;

    private static Stream<Arguments> extraAnswers() {
        return EXTRA_ANSWERS.stream()
                .flatMap(extra -> Stream.of(200, 500).map(status -> Arguments.of(extra, status)));
    }

    @ParameterizedTest
    @MethodSource("extraAnswers")
    void shouldTakeNoPartOfAnExtraAnswerForTheAnswer(String extra, int status) throws Exception {
        Script script =
                (request, wire) -> {
                    int end = Integer.parseInt(request.target().split("/")[2]);
                    String body = "whole " + end;
                    wire.write(
                            extra.substring(0, end)
                                    + ("HTTP/1.1 " + status + " X\r\n" + headersFor(request))
                                    + ("Content-Length: " + body.length() + "\r\n\r\n" + body));
                };
        try (var fleet = Installation.start(script, script)) {
            for (int end = 0; end <= extra.length(); end++) {
                var answer = fleet.ask(request("GET", "/unsafe/" + end, "id-" + end, ""));
                String cut = "cut behind <" + extra.substring(0, end) + ">";
                if (answer.header("Fescueport-Replica-Stamp") == null) {
                    assertThat(
                            cut,
                            answer.status(),
                            greaterThanOrEqualTo(MIN_STATUS_OF_UNKNOWN_OUTCOME));
                } else {
                    assertThat(cut, answer.status(), is(status));
                    assertThat(cut, answer.body(), is("whole " + end));
                }
            }
        }
    }
}
