package org.fescueport.platform;

import static org.fescueport.platform.Installation.post;
import static org.fescueport.platform.ReplicaStandIn.headersFor;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.fescueport.internal.direct.MachineLimits;
import org.fescueport.platform.RawServer.Request;
import org.fescueport.platform.RawServer.Script;
import org.fescueport.platform.RawServer.Wire;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against part of an answer that passes for a whole one: it comes while a long request is
 * still being written, states no length, and ends with its connection (issue 55).
 */
class EarlyAnswerTest {
    /** More than the buffers of both sockets hold, so that it cannot be written whole. */
    private static final int BODY_BYTES = 12_000_000;

    private static final int MAX_BODIES_BYTES = 4 * BODY_BYTES;

    /** How the connection ends behind the answer. */
    private enum End {
        /** The router's writing fails; it has read part of the answer, or none of it. */
        RESET {
            @Override
            void end(Wire wire) throws Exception {
                wire.reset();
            }
        },
        /** The router reads the end of the answer before its writing fails. */
        END_OF_OUTPUT_THEN_RESET {
            @Override
            void end(Wire wire) throws Exception {
                wire.socket().shutdownOutput();
                Await.pause(100);
                wire.reset();
            }
        };

        abstract void end(Wire wire) throws Exception;
    }

    /** Answers as soon as the head of a request has come, whose body it never reads. */
    private record EarlyScript(int bytes, int pauseMillis, End connectionEnd) implements Script {
        @Override
        public void answer(Request request, Wire wire) throws Exception {
            String head = "HTTP/1.1 200 OK\r\n" + headersFor(request) + "\r\n";
            wire.write(head + "p".repeat(bytes));
            Await.pause(pauseMillis);
            connectionEnd.end(wire);
        }

        @Override
        public boolean awaitsBody() {
            return false;
        }
    }

    private Installation mFleet;

    @AfterEach
    void stop() throws Exception {
        mFleet.close();
    }

    private static List<Arguments> earlyAnswers() {
        var cases = new ArrayList<Arguments>();
        for (String route : List.of("unsafe", "safe", "once", "stream")) {
            for (End end : End.values()) {
                cases.add(Arguments.of(route, new EarlyScript(0, 0, end)));
                cases.add(Arguments.of(route, new EarlyScript(5, 30, end)));
                cases.add(Arguments.of(route, new EarlyScript(60_000, 0, end)));
                cases.add(Arguments.of(route, new EarlyScript(90_000, 60, end)));
            }
        }
        return cases;
    }

    @ParameterizedTest
    @MethodSource("earlyAnswers")
    void shouldNotTakePartOfAnEarlyAnswerForTheWhole(String route, Script script) throws Exception {
        start(script);
        var answer = mFleet.ask(post("/" + route + "/x", "b".repeat(BODY_BYTES)));
        boolean isWholeSuccess = answer.status() < 300 && answer.complete();
        assertThat("status " + answer.status(), isWholeSuccess, is(false));
    }

    private void start(Script script) throws Exception {
        var limits =
                new MachineLimits(
                        TestRouter.MAX_CALLERS, MAX_BODIES_BYTES, TestRouter.MAX_HEAD_BYTES);
        mFleet = Installation.start(script, script, limits);
        String longBodies =
                Installation.configuration(2)
                        .replace("\"max_body_bytes\":100000", "\"max_body_bytes\":" + BODY_BYTES);
        mFleet.store().configure(longBodies);
        Await.until(
                "bodies may be long",
                () ->
                        RawCaller.statusOf(
                                        mFleet.router().callers(),
                                        post("/nowhere/x", "b".repeat(200_000)))
                                == 404);
    }
}
