package org.fescueport.platform;

import static org.fescueport.platform.Installation.request;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueport.platform.FaultProxy.Mode;
import org.fescueport.platform.RawServer.Script;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against using removed replicas too long because another node lost its store. */
class RemovalBoundTest {
    /** From the store's acknowledgement of a removal. */
    private static final long BOUND_NANOS = Duration.ofSeconds(2).toNanos();

    private static final int REMOVALS = 8;
    private static final int CALLERS = 2;

    /** What happens again and again between one node and the store. */
    private enum Disturbance {
        RESETS(1_000),
        SHORT_CUTS(1_700),
        HELD_LINK(2_100);

        private final long mEveryMs;

        Disturbance(long everyMs) {
            mEveryMs = everyMs;
        }

        void happen(FaultProxy link) {
            switch (this) {
                case RESETS -> link.resetAll();
                case SHORT_CUTS -> {
                    link.mode(Mode.REFUSE);
                    link.resetAll();
                    Await.pause(300);
                    link.mode(Mode.PASS);
                }
                case HELD_LINK -> {
                    link.mode(Mode.SILENT);
                    Await.pause(900);
                    link.mode(Mode.PASS);
                    link.resetAll();
                }
                default -> throw new AssertionError("disturbance " + this);
            }
        }
    }

    private final Map<String, Long> mRemovedNanos = new ConcurrentHashMap<>();
    private final List<String> mLate = new CopyOnWriteArrayList<>();
    private final AtomicInteger mServed = new AtomicInteger();
    private volatile boolean mStopped;

    @ParameterizedTest
    @EnumSource(Disturbance.class)
    void shouldNotUseRemovedReplicasLongerWhereAnotherNodeLosesItsStore(Disturbance disturbance)
            throws Exception {
        List<Thread> threads = new ArrayList<>();
        List<ReplicaStandIn> replicas = new ArrayList<>();
        try (var store = StoreStandIn.start();
                var link = FaultProxy.before(store.address())) {
            store.configure(Installation.configuration(1));
            replicas.add(register(store, "stays"));
            try (var disturbed = TestRouter.start("edge-1", link.address()).awaitReady();
                    var second = TestRouter.start("edge-2", store.address()).awaitReady();
                    var third = TestRouter.start("edge-3", store.address()).awaitReady()) {
                Await.until("one reads for both", second::reliesOnPeer);
                Await.until("one reads for both", third::reliesOnPeer);
                for (var router : List.of(second, third)) {
                    for (int i = 0; i < CALLERS; i++) {
                        threads.add(Thread.ofVirtual().start(() -> callAgainAndAgain(router)));
                    }
                }
                threads.add(Thread.ofVirtual().start(() -> disturb(disturbance, link)));
                for (int i = 0; i < REMOVALS; i++) {
                    var replica = register(store, "goes-" + i);
                    replicas.add(replica);
                    // The pauses differ, so that the removals fall into all phases of the reads.
                    Await.pause(1_200 + 130L * (i * 5 % 7));
                    store.remove("keyed.servers", replica.id());
                    mRemovedNanos.put(replica.id(), System.nanoTime());
                }
                Await.pause(3_000);
                mStopped = true;
                for (var thread : threads) {
                    thread.join();
                }
                assertThat(disturbed.lines().contains("store-lost"), is(true));
            }
        } finally {
            for (var replica : replicas) {
                replica.close();
            }
        }
        assertThat(mServed.get(), greaterThan(100));
        assertThat(mLate, is(empty()));
    }

    private ReplicaStandIn register(StoreStandIn store, String id) throws IOException {
        Script script =
                (request, wire) -> {
                    onArrival(id);
                    Scripts.GOOD.answer(request, wire);
                };
        var replica = ReplicaStandIn.start(id, "api", script);
        replica.register(store, "ready");
        return replica;
    }

    private void onArrival(String id) {
        mServed.incrementAndGet();
        Long removed = mRemovedNanos.get(id);
        if (removed != null && System.nanoTime() - removed > BOUND_NANOS) {
            mLate.add(id + " " + (System.nanoTime() - removed) / 1_000_000 + " ms");
        }
    }

    private void callAgainAndAgain(TestRouter router) {
        int number = 0;
        while (!mStopped) {
            try {
                String id = router.callers().getPort() + "-" + number++;
                RawCaller.ask(router.callers(), request("POST", "/unsafe/x", id, "notice"));
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
            Await.pause(20);
        }
    }

    private void disturb(Disturbance disturbance, FaultProxy link) {
        while (!mStopped) {
            Await.pause(disturbance.mEveryMs);
            disturbance.happen(link);
        }
    }
}
