package org.fescueport.platform;

import static org.fescueport.platform.ReplicaStandIn.beginStream;
import static org.fescueport.platform.ReplicaStandIn.chunk;
import static org.fescueport.platform.ReplicaStandIn.events;
import static org.fescueport.platform.ReplicaStandIn.headersFor;
import static org.fescueport.platform.Scripts.GOOD;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueport.platform.RawServer.Request;
import org.fescueport.platform.RawServer.Script;
import org.fescueport.platform.RawServer.Wire;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a prompt part that crashes replicas again and again inside their answers. */
class CrashInsideAnswerTest {
    private static final String DEADLY = "dead01";
    private static final int CRASHES_TO_LEARN = 5;
    private static final long STABLE_WINDOW_NANOS = Duration.ofSeconds(3).toNanos();
    private static final int MAX_LATE_ARRIVALS = 3;
    private static final int DEADLY_REQUESTS = 20;
    private static final int PAUSE_MS = 400;
    private static final int BACK_AFTER_MS = 1_200;
    private static final int CALLERS = 6;

    /** Where in its answer a replica crashes. */
    private enum Place {
        FIRST_EVENT,
        INSIDE_EVENT,
        FIFTH_EVENT,
        /** Behind an event of a stream that has neither a length nor chunks. */
        OPEN_END
    }

    private final List<ReplicaStandIn> mReplicas = new ArrayList<>();
    private final List<Long> mCrashes = new CopyOnWriteArrayList<>();
    private final List<Long> mArrivals = new CopyOnWriteArrayList<>();
    private final AtomicInteger mIds = new AtomicInteger();
    private final AtomicInteger mSound = new AtomicInteger();
    private final AtomicInteger mSoundRefused = new AtomicInteger();
    private volatile boolean mStopped;

    @ParameterizedTest
    @CsvSource({
        "stream, FIRST_EVENT, 1",
        "once, FIRST_EVENT, 2",
        "stream, INSIDE_EVENT, 2",
        "once, FIFTH_EVENT, 1",
        "stream, FIFTH_EVENT, 2",
        "once, OPEN_END, 1"
    })
    void shouldRefuseAPartWithWhichReplicasCrashInsideTheirAnswersAndNoSoundRequest(
            String route, Place place, int nodes) throws Exception {
        try (var fleet = Installation.start(GOOD, GOOD)) {
            List<TestRouter> routers = new ArrayList<>(List.of(fleet.router()));
            if (nodes > 1) {
                var second = TestRouter.start("edge-2", fleet.store().address()).awaitReady();
                Await.until("they know each other", second::reliesOnPeer);
                routers.add(second);
            }
            startReplicas(fleet, place);
            var threads = startSoundCallers(routers);
            Await.until("sound requests are answered", () -> mSound.get() > 20);
            for (int i = 0; i < DEADLY_REQUESTS; i++) {
                ask(routers.get(i % nodes), request(route, DEADLY));
                Await.pause(PAUSE_MS);
            }
            mStopped = true;
            for (var thread : threads) {
                thread.join();
            }
            routers.subList(1, nodes).forEach(TestRouter::close);
        } finally {
            for (var replica : mReplicas) {
                replica.close();
            }
        }
        assertThat(mCrashes.size(), greaterThan(0));
        assertThat(lateArrivals(), lessThanOrEqualTo((long) MAX_LATE_ARRIVALS));
        assertThat(mSoundRefused.get(), is(0));
    }

    private long lateArrivals() {
        if (mCrashes.size() < CRASHES_TO_LEARN) {
            return 0;
        }
        long learnt = mCrashes.get(CRASHES_TO_LEARN - 1) + STABLE_WINDOW_NANOS;
        return mArrivals.stream().filter(at -> at - learnt > 0).count();
    }

    /** Replaces the engines by mortal ones. */
    private void startReplicas(Installation fleet, Place place) throws IOException {
        for (String id : List.of("llm-1", "llm-2")) {
            fleet.store().remove("keyed.servers", id);
        }
        for (int i = 1; i <= 6; i++) {
            int index = i - 1;
            Script script = (request, wire) -> answer(fleet, index, place, request, wire);
            var replica = ReplicaStandIn.start("mortal-" + i, "llm", script);
            mReplicas.add(replica);
            replica.register(fleet.store(), "ready");
        }
        Await.pause(1_500);
    }

    private void answer(Installation fleet, int index, Place place, Request request, Wire wire)
            throws IOException {
        boolean deadly = request.header("Fescueport-Prefix-Hash").contains(DEADLY);
        if (deadly) {
            mArrivals.add(System.nanoTime());
        }
        String last = request.header("Last-Event-Id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        boolean open = deadly && place == Place.OPEN_END;
        if (open) {
            wire.write(
                    "HTTP/1.1 200 OK\r\n"
                            + headersFor(request)
                            + "Content-Type: text/event-stream\r\n\r\n");
        } else {
            beginStream(request, wire);
        }
        for (int event = first; event <= 8; event++) {
            String text = events(event, event);
            if (open) {
                wire.write(text);
            } else {
                chunk(wire, text);
            }
            Await.pause(15);
            boolean isFifth = event >= Math.max(5, first);
            if (deadly && (place != Place.FIFTH_EVENT || isFifth)) {
                if (place == Place.INSIDE_EVENT) {
                    chunk(wire, "id: 99\nda");
                }
                crash(fleet, index, place);
                return;
            }
        }
        wire.write("0\r\n\r\n");
    }

    private void crash(Installation fleet, int index, Place place) throws IOException {
        var replica = mReplicas.get(index);
        synchronized (replica) {
            if (!replica.isUp()) {
                return;
            }
            mCrashes.add(System.nanoTime());
            replica.crash();
        }
        Thread.ofVirtual()
                .start(
                        () -> {
                            Await.pause(BACK_AFTER_MS);
                            startAgain(fleet, index, place);
                        });
    }

    private void startAgain(Installation fleet, int index, Place place) {
        try {
            Script script = (request, wire) -> answer(fleet, index, place, request, wire);
            mReplicas.get(index).startAgain(fleet.store(), script);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** Each caller has a part of its own and shares the first one with the deadly requests. */
    private List<Thread> startSoundCallers(List<TestRouter> routers) {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            String part = "bb0" + i;
            var router = routers.get(i % routers.size());
            String route = i % 3 == 0 ? "once" : "stream";
            threads.add(Thread.ofVirtual().start(() -> callAgainAndAgain(router, route, part)));
        }
        return threads;
    }

    private void callAgainAndAgain(TestRouter router, String route, String part) {
        while (!mStopped) {
            try {
                var answer = ask(router, request(route, part));
                mSound.incrementAndGet();
                if (answer.status() == 503 && answer.body().contains("crashes replicas")) {
                    mSoundRefused.incrementAndGet();
                }
            } catch (IOException e) {
                // Its replica crashed with another request.
            }
            Await.pause(30);
        }
    }

    private static RawCaller.Answer ask(TestRouter router, String request) throws IOException {
        return RawCaller.ask(router.callers(), request);
    }

    /** Returns a request unlike all others. */
    private String request(String route, String part) {
        int number = mIds.incrementAndGet();
        String prompt =
                "\r\nFescueport-Model: m\r\nFescueport-Token-Usage: 950,10"
                        + "\r\nFescueport-Prefix-Hash: aa:500,%s:400,ff%04x:50\r\nAuthorization"
                                .formatted(part, number);
        return Installation.request("GET", "/" + route + "/" + number, "id-" + number, "")
                .replaceFirst("\r\nAuthorization", prompt);
    }
}
