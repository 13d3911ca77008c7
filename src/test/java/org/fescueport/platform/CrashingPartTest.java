package org.fescueport.platform;

import static org.fescueport.platform.Scripts.GOOD;
import static org.fescueport.platform.Scripts.STREAM;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.notNullValue;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.fescueport.platform.RawCaller.Answer;
import org.fescueport.platform.RawServer.Script;
import org.junit.jupiter.api.Test;

/** Requests that share a prompt part of which replicas die, no two alike. */
class CrashingPartTest {
    private static final String DEADLY = "dead01";
    private static final int MAX_CRASHES = 5;
    private static final int LATER_REQUESTS = 4;

    /** Longer than the check for a crash and its report take. */
    private static final int VERDICT_MS = 250;

    private final AtomicReference<Installation> mFleet = new AtomicReference<>();
    private int mRequests;
    private int mCrashes;

    /** Dies of one part; the header names which replica this is. */
    private final Script mMortal =
            (request, wire) -> {
                if (request.header("Fescueport-Prefix-Hash").contains(DEADLY)) {
                    mFleet.get().replica(request.header("Fescueport-Expect-Replica")).crash();
                } else {
                    STREAM.answer(request, wire);
                }
            };

    /** Returns a request whose last part is its own. */
    private String request(String route, String sharedParts) {
        mRequests++;
        String prompt =
                "\r\nFescueport-Model: m\r\nFescueport-Token-Usage: 950,10"
                        + "\r\nFescueport-Prefix-Hash: "
                        + sharedParts
                        + ",ff%04x:50\r\nAuthorization".formatted(mRequests);
        return Installation.request("GET", "/" + route + "/" + mRequests, "id-" + mRequests, "")
                .replaceFirst("\r\nAuthorization", prompt);
    }

    private String deadly(String route) {
        return request(route, "aa:500," + DEADLY + ":400");
    }

    private String sound() {
        return request("once", "aa:500,bb:400");
    }

    private void startCrashedAgain() throws Exception {
        var fleet = mFleet.get();
        Await.pause(500);
        for (String id : List.of("llm-1", "llm-2")) {
            if (!fleet.replica(id).isUp()) {
                mCrashes++;
                fleet.replica(id).startAgain(fleet.store(), mMortal);
            }
        }
        Await.until(
                "both replicas answer again",
                () -> RawCaller.statusOf(fleet.router().callers(), sound()) == 200);
        Await.pause(500);
    }

    /**
     * Sends deadly requests to the routers by turns until each has refused one, all before any may
     * try the part again.
     */
    private void crashUntilRefused(List<TestRouter> routers) throws Exception {
        int refused = 0;
        for (int i = 0; refused < routers.size() && mCrashes < MAX_CRASHES + 2; i++) {
            var answer = RawCaller.ask(routers.get(i % routers.size()).callers(), deadly("once"));
            if (isRefusal(answer)) {
                refused++;
                continue;
            }
            refused = 0;
            Await.pause(VERDICT_MS);
            if (mFleet.get().replicas("llm").stream().noneMatch(ReplicaStandIn::isUp)
                    && !isRefusal(RawCaller.ask(routers.getFirst().callers(), deadly("once")))) {
                startCrashedAgain();
            }
        }
    }

    private static boolean isRefusal(Answer answer) {
        return answer.status() == 503 && answer.body().contains(DEADLY);
    }

    private void assertRefused(TestRouter router) throws Exception {
        int before = mFleet.get().arrivals("llm");
        var answer = RawCaller.ask(router.callers(), deadly("stream"));
        assertThat(answer.status(), is(503));
        assertThat(answer.header("Retry-After"), notNullValue());
        assertThat(answer.body(), containsString(DEADLY));
        assertThat(mFleet.get().arrivals("llm"), is(before));
    }

    @Test
    void shouldRefuseAtEveryNodeRequestsWithAPartThatReplicasDiedOf() throws Exception {
        try (var fleet = Installation.start(GOOD, mMortal);
                var second = TestRouter.start("edge-2", fleet.store().address()).awaitReady()) {
            mFleet.set(fleet);
            Await.until("they know each other", () -> second.lines().contains("relying-on-peer"));
            crashUntilRefused(List.of(fleet.router(), second));
            assertRefused(fleet.router());
            assertRefused(second);
            startCrashedAgain();
            assertThat(mCrashes, lessThanOrEqualTo(MAX_CRASHES));
            for (int i = 0; i < LATER_REQUESTS; i++) {
                assertThat(RawCaller.ask(second.callers(), sound()).status(), is(200));
                assertThat(fleet.ask(sound()).status(), is(200));
            }
        }
    }

    @Test
    void shouldTellANodeThatStartsLaterOfAPartThatReplicasDiedOf() throws Exception {
        try (var fleet = Installation.start(GOOD, mMortal)) {
            mFleet.set(fleet);
            crashUntilRefused(List.of(fleet.router()));
            startCrashedAgain();
            assertThat(mCrashes, lessThanOrEqualTo(MAX_CRASHES));
            try (var late = TestRouter.start("edge-2", fleet.store().address()).awaitReady()) {
                Await.until("it knows the other", () -> late.lines().contains("relying-on-peer"));
                assertRefused(late);
            }
        }
    }
}
