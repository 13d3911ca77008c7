package org.fescueport.platform;

import static org.fescueport.platform.Installation.get;
import static org.fescueport.platform.Installation.post;
import static org.fescueport.platform.Scripts.GOOD;
import static org.fescueport.platform.Scripts.STREAM;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;

import java.util.concurrent.atomic.AtomicReference;
import org.fescueport.platform.RawServer.Script;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests that replicas die of. */
class PoisonTest {
    private static final String DEADLY = "deadly";

    /** Longer than a node takes to find out that a replica has crashed. */
    private static final int CHECK_MS = 700;

    private final AtomicReference<Installation> mFleet = new AtomicReference<>();

    /** Dies of one body; the header names which replica this is. */
    private final Script mMortal =
            (request, wire) -> {
                if (new String(request.body()).equals(DEADLY)) {
                    mFleet.get().replica(request.header("Fescueport-Expect-Replica")).crash();
                } else {
                    GOOD.answer(request, wire);
                }
            };

    /**
     * Sends the deadly request, lets the node find the replica gone, and starts it again.
     *
     * @param others number of other requests that come meanwhile
     */
    private void die(int others) throws Exception {
        var fleet = mFleet.get();
        int before = fleet.arrivals("api");
        fleet.ask(post("/unsafe/x", DEADLY));
        assertThat(fleet.arrivals("api"), is(before + 1));
        for (int i = 0; i < others; i++) {
            fleet.ask(get("/safe/" + i));
        }
        Await.pause(CHECK_MS);
        for (String id : new String[] {"api-1", "api-2"}) {
            if (!fleet.replica(id).isUp()) {
                fleet.replica(id).startAgain(fleet.store(), mMortal);
            }
        }
        Await.pause(1_000);
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 0})
    void shouldRefuseAtEveryNodeARequestThatTwoReplicasDiedOfAlsoAtAQuietService(int others)
            throws Exception {
        try (var fleet = Installation.start(mMortal, STREAM);
                var second = TestRouter.start("edge-2", fleet.store().address()).awaitReady()) {
            mFleet.set(fleet);
            Await.until("they know each other", () -> second.lines().contains("relying-on-peer"));
            die(others);
            die(others);
            int before = fleet.arrivals("api");
            var here = fleet.ask(post("/unsafe/x", DEADLY));
            assertThat(here.status(), is(503));
            assertThat(here.header("Retry-After"), notNullValue());
            var there = RawCaller.ask(second.callers(), post("/unsafe/x", DEADLY));
            assertThat(there.status(), is(503));
            assertThat(fleet.arrivals("api"), is(before));
            assertThat(fleet.ask(post("/unsafe/x", "harmless")).status(), is(200));
        }
    }
}
