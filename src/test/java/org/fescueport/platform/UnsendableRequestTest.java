package org.fescueport.platform;

import static org.fescueport.platform.Installation.request;
import static org.fescueport.platform.Scripts.GOOD;
import static org.fescueport.platform.Scripts.STREAM;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a request that is never answered as this node fails while it sends it. */
class UnsendableRequestTest {
    private static final int REQUESTS = 3;

    /** No header can carry the name of the team. */
    @ParameterizedTest
    @ValueSource(strings = {"safe", "unsafe", "once", "stream"})
    void shouldAnswerARequestOfWhichAHeaderCannotBeWritten(String route) throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM)) {
            String odd = Installation.configuration(2).replace("dam-operators", "dam\\n\\u0000s");
            fleet.store().configure(odd);
            Await.until(
                    "the configuration is used",
                    () -> fleet.router().lines().contains("\"version\":2"));
            try (var caller = RawCaller.connect(fleet.router().callers())) {
                for (int i = 0; i < REQUESTS; i++) {
                    caller.send(request("POST", "/" + route + "/x", "id-" + i, "a"));
                    var answer = caller.receive();
                    assertThat(answer.status(), is(503));
                    assertThat(answer.complete(), is(true));
                }
            }
            Await.until(
                    "the failure is logged",
                    () -> fleet.router().lines().contains("unexpected-failure"));
            fleet.store().configure(Installation.configuration(3));
            Await.until(
                    "requests are served again",
                    () ->
                            RawCaller.statusOf(
                                            fleet.router().callers(),
                                            request("POST", "/" + route + "/x", "id", "a"))
                                    == 200);
        }
    }
}
