package org.fescueport.platform;

import static org.fescueport.platform.Installation.get;
import static org.fescueport.platform.Installation.post;
import static org.fescueport.platform.Scripts.GOOD;
import static org.fescueport.platform.Scripts.STREAM;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.fescueport.platform.RawServer.Script;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Callers that would take more of the process than it has. */
class QuotaTest {
    private static final int BODY = 90_000;
    private static final int FITTING = TestRouter.MAX_BODY_BYTES / BODY;

    private static String unfinished(String path) {
        return post(path, "x".repeat(BODY)).replace("" + BODY, "" + (BODY + 1));
    }

    @Test
    void shouldRefuseABodyAtOnceWhenOthersTakeAllTheRoom() throws Exception {
        List<RawCaller> slow = new ArrayList<>();
        try (var fleet = Installation.start(GOOD, STREAM)) {
            for (int i = 0; i < FITTING; i++) {
                slow.add(RawCaller.connect(fleet.router().callers()));
                slow.getLast().send(unfinished("/unsafe/" + i));
            }
            Await.pause(200);
            var refused = fleet.ask(post("/unsafe/x", "x".repeat(BODY)));
            assertThat(refused.status(), is(503));
            assertThat(refused.header("Retry-After"), notNullValue());
            assertThat(fleet.ask(get("/safe/x")).status(), is(200));
            for (var caller : slow) {
                caller.send("x");
                assertThat(caller.receive().status(), is(200));
            }
            for (int i = 0; i < 2 * FITTING; i++) {
                assertThat(fleet.ask(post("/unsafe/x", "x".repeat(BODY))).status(), is(200));
            }
            assertThat(fleet.arrivals("api"), is(3 * FITTING + 1));
        } finally {
            for (var caller : slow) {
                caller.close();
            }
        }
    }

    @Test
    void shouldHaveRoomAgainWhenCallersLeaveInTheMiddleOfTheirBodies() throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM)) {
            for (int i = 0; i < 3 * FITTING; i++) {
                try (var caller = RawCaller.connect(fleet.router().callers())) {
                    caller.send(unfinished("/unsafe/" + i));
                    Await.pause(50);
                }
                Await.pause(50);
            }
            assertThat(fleet.ask(post("/unsafe/x", "x".repeat(BODY))).status(), is(200));
        }
    }

    @Test
    void shouldEndTheLongestIdleConnectionForANewOne() throws Exception {
        List<RawCaller> idle = new ArrayList<>();
        try (var fleet = Installation.start(GOOD, STREAM)) {
            for (int i = 0; i < TestRouter.MAX_CALLERS; i++) {
                idle.add(RawCaller.connect(fleet.router().callers()));
                idle.getLast().send(get("/safe/x"));
                assertThat(idle.getLast().receive().status(), is(200));
            }
            // On a connection that was answered just now the next request may be under way.
            Await.pause(1_100);
            assertThat(fleet.ask(get("/safe/x")).status(), is(200));
            assertThat(idle.getFirst().isAtEnd(), is(true));
            idle.getLast().send(get("/safe/x"));
            assertThat(idle.getLast().receive().status(), is(200));
        } finally {
            for (var caller : idle) {
                caller.close();
            }
        }
    }

    @Test
    void shouldTellANewCallerWhenToComeBackWhileAllConnectionsAreAtWork() throws Exception {
        Script held = (request, wire) -> wire.awaitClose();
        List<RawCaller> atWork = new ArrayList<>();
        try (var fleet = Installation.start(GOOD, held)) {
            for (int i = 0; i < TestRouter.MAX_CALLERS; i++) {
                atWork.add(RawCaller.connect(fleet.router().callers()));
                atWork.getLast().send(post("/once/x", "hello"));
            }
            Await.until("all run", () -> fleet.arrivals("llm") == TestRouter.MAX_CALLERS);
            try (var late = RawCaller.connect(fleet.router().callers())) {
                late.send(post("/unsafe/x", "x".repeat(BODY)));
                var refused = late.receive();
                assertThat(refused.status(), is(503));
                assertThat(refused.header("Retry-After"), notNullValue());
                assertThat(refused.header("Connection"), is("close"));
                assertThat(late.isAtEnd(), is(true));
            }
            assertThat(fleet.arrivals("api"), is(0));
            atWork.removeFirst().close();
            Await.until("one is gone", () -> answers(fleet));
        } finally {
            for (var caller : atWork) {
                caller.close();
            }
        }
    }

    @Test
    void shouldNotCutAConnectionOnWhichACallerHasJustSent() throws Exception {
        List<RawCaller> callers = new ArrayList<>();
        try (var fleet = Installation.start(GOOD, STREAM)) {
            for (int round = 0; round < 3; round++) {
                for (int i = 0; i < TestRouter.MAX_CALLERS + 3; i++) {
                    callers.add(RawCaller.connect(fleet.router().callers()));
                    callers.getLast().send(get("/safe/" + i));
                    assertThat(callers.getLast().receive().status(), anyOf(is(200), is(503)));
                }
            }
        } finally {
            for (var caller : callers) {
                caller.close();
            }
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 10})
    void shouldServeACallerWhoComesBehindManyThatAreGoneAlready(int times) throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM)) {
            fleet.router().stall(Duration.ofMillis(800));
            for (int i = 0; i < times * TestRouter.MAX_CALLERS; i++) {
                RawCaller.connect(fleet.router().callers()).close();
            }
            assertThat(fleet.ask(get("/safe/x")).status(), is(200));
        }
    }

    @Test
    void shouldAnswerEachCallerOfACrowdThatConnectsWhileTheNodeDoesNothing() throws Exception {
        List<RawCaller> crowd = new ArrayList<>();
        try (var fleet = Installation.start(GOOD, STREAM)) {
            fleet.router().stall(Duration.ofMillis(800));
            for (int i = 0; i < 5 * TestRouter.MAX_CALLERS; i++) {
                crowd.add(RawCaller.connect(fleet.router().callers()));
                crowd.getLast().send(closing(get("/safe/" + i)));
            }
            for (var caller : crowd) {
                assertThat(caller.receive().status(), anyOf(is(200), is(503)));
            }
        } finally {
            for (var caller : crowd) {
                caller.close();
            }
        }
    }

    @Test
    void shouldTakeCallersInAgainOnceThoseThatFilledTheNodeRest() throws Exception {
        List<RawCaller> crowd = new ArrayList<>();
        try (var fleet = Installation.start(GOOD, STREAM)) {
            fleet.router().stall(Duration.ofMillis(800));
            for (int i = 0; i < 3 * TestRouter.MAX_CALLERS; i++) {
                crowd.add(RawCaller.connect(fleet.router().callers()));
            }
            Await.pause(4_000);
            for (int i = 0; i < TestRouter.MAX_CALLERS / 2; i++) {
                assertThat(fleet.ask(get("/safe/x")).status(), is(200));
            }
        } finally {
            for (var caller : crowd) {
                caller.close();
            }
        }
    }

    @Test
    void shouldAskNoReplicaForCallersThatLeftBeforeTheyWereRead() throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM)) {
            fleet.router().stall(Duration.ofMillis(800));
            for (int i = 0; i < 10; i++) {
                try (var caller = RawCaller.connect(fleet.router().callers())) {
                    caller.send(get("/safe/" + i));
                }
            }
            Await.pause(1_500);
            assertThat(fleet.arrivals("api"), is(0));
        }
    }

    private static String closing(String request) {
        return request.replace("Host:", "Connection: close\r\nHost:");
    }

    private static boolean answers(Installation fleet) {
        try {
            return fleet.ask(get("/safe/x")).status() == 200;
        } catch (java.io.IOException e) {
            return false;
        }
    }
}
