package org.fescueport.platform.soak;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.fescueport.platform.Await;
import org.fescueport.platform.FreePorts;
import org.fescueport.platform.Installation;
import org.fescueport.platform.RawCaller;
import org.fescueport.platform.RawServer;
import org.fescueport.platform.StoreStandIn;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Nodes are stopped in overlapping series while callers ask them for streams of up to nine seconds,
 * as happens where a load balancer has no other node left.
 */
class StoppingSoakTest {
    private static final int EDGES = 3;
    private static final int CALLERS = 12;
    private static final int MAX_EVENTS = 90;
    private static final int EVENT_MS = 100;

    /** What is sent later than this after the signal may not be cut. */
    private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

    /** Nothing that has begun may be cut sooner than this after the signal. */
    private static final long FIRST_CUT_NANOS = TimeUnit.MILLISECONDS.toNanos(8_000L * 5 / 6);

    private final StoreStandIn mStore = StoreStandIn.start();
    private final List<EdgeProcess> mEdges = new ArrayList<>();
    private final List<RawServer> mReplicas = new ArrayList<>();
    private final Map<EdgeProcess, Long> mStoppedAt = new ConcurrentHashMap<>();
    private final Set<String> mArrived = ConcurrentHashMap.newKeySet();
    private final List<String> mBroken = new CopyOnWriteArrayList<>();
    private final AtomicBoolean mDone = new AtomicBoolean();
    private final AtomicInteger mIds = new AtomicInteger();
    private final AtomicInteger mWhole = new AtomicInteger();
    private final AtomicInteger mRefused = new AtomicInteger();

    StoppingSoakTest() throws IOException {}

    static LongStream seeds() {
        long first = Long.getLong("soak.seed", 1L);
        return LongStream.range(first, first + Long.getLong("soak.seeds", 1L));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void shouldCutNoRequestThatItAcceptedLateWhileStopping(long seed) throws Exception {
        var random = new SplittableRandom(seed);
        try {
            startFleet(
                    Files.createDirectories(Path.of("target", "soak-stops", Long.toString(seed))));
            List<Thread> callers = startCallers(seed);
            for (int round = 0; round < 2; round++) {
                stopInTurn(500 + random.nextInt(1_500));
            }
            mDone.set(true);
            for (var caller : callers) {
                caller.join(TimeUnit.SECONDS.toMillis(20));
            }
            assertThat("seed " + seed, List.copyOf(mBroken), is(List.of()));
            assertThat("whole streams", mWhole.get(), is(greaterThan(20)));
            assertThat("refused", mRefused.get(), is(greaterThan(0)));
        } finally {
            close();
        }
    }

    private void startFleet(Path folder) throws IOException {
        mStore.configure(
                Installation.configuration(2)
                        .replace("\"timeout_ms\":3000", "\"timeout_ms\":15000"));
        for (int i = 1; i <= 2; i++) {
            var server = RawServer.start(this::stream);
            mReplicas.add(server);
            register("llm-" + i, server.address());
        }
        for (int i = 0; i < EDGES; i++) {
            var edge =
                    new EdgeProcess(
                            "edge-" + i, folder, mStore.address(), FreePorts.next(), List.of());
            mEdges.add(edge);
            edge.start();
        }
        mEdges.forEach(edge -> Await.until(edge.node() + " is ready", 15_000, edge::isReady));
    }

    private void register(String id, InetSocketAddress address) {
        mStore.put(
                "keyed.servers",
                id,
                """
                {"service":"llm","address":"127.0.0.1:%d","zone":"north","version":"v1",\
                "slots":64,"state":"ready","cold_remaining_ms":0,"seq":1,"born":1700000000000}"""
                        .formatted(address.getPort()));
    }

    /** Sends as many events as the last part of the path says. */
    private void stream(RawServer.Request request, RawServer.Wire wire) throws IOException {
        String id = request.header("Fescueport-Attempt-Id");
        mArrived.add(id);
        wire.write(
                "HTTP/1.1 200 OK\r\nFescueport-Attempt-Id: "
                        + id
                        + "\r\nFescueport-Replica-Stamp: stamp\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n");
        String path = request.target();
        int events = Integer.parseInt(path.substring(path.lastIndexOf('/') + 1));
        for (int number = 1; number <= events; number++) {
            String event = SoakReplica.event(id, number);
            wire.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            Await.pause(EVENT_MS);
        }
        wire.write("0\r\n\r\n");
    }

    private List<Thread> startCallers(long seed) {
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            var random = new SplittableRandom(seed * 1_000 + i);
            callers.add(Thread.ofVirtual().start(() -> callAgainAndAgain(random)));
        }
        return callers;
    }

    private void callAgainAndAgain(SplittableRandom random) {
        while (!mDone.get()) {
            call(mEdges.get(random.nextInt(EDGES)), 1 + random.nextInt(MAX_EVENTS));
            Await.pause(20 + random.nextInt(100));
        }
    }

    private void call(EdgeProcess edge, int events) {
        String id = "id-" + mIds.incrementAndGet();
        String request =
                Installation.request("POST", "/once/" + events, id, "hello")
                        .replace("Deadline-Ms: 2000", "Deadline-Ms: 15000");
        long sent = System.nanoTime();
        try (var caller = RawCaller.connect(edge.callers())) {
            caller.send(request);
            var answer = caller.receive();
            if (answer.status() == 503) {
                mRefused.incrementAndGet();
            } else if (answer.status() == 200 && answer.complete()) {
                mWhole.incrementAndGet();
            } else if (answer.status() == 200 || answer.status() == 0) {
                onCut(edge, id, sent, events + " events, status " + answer.status());
            }
        } catch (IOException e) {
            onCut(edge, id, sent, events + " events, " + e);
        }
    }

    /** A request that no replica was sent does not count; the node was gone. */
    private void onCut(EdgeProcess edge, String id, long sent, String what) {
        if (!mArrived.contains(id)) {
            return;
        }
        long stopped = mStoppedAt.getOrDefault(edge, Long.MAX_VALUE);
        long now = System.nanoTime();
        boolean late = stopped != Long.MAX_VALUE && sent - stopped > LATE_NANOS;
        boolean early = stopped == Long.MAX_VALUE || now - stopped < FIRST_CUT_NANOS;
        if (late || early) {
            mBroken.add(
                    "%s, %s: sent %d ms and cut %d ms after the signal to %s"
                            .formatted(id, what, ms(sent - stopped), ms(now - stopped), edge));
        }
    }

    private static long ms(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    /** Stops each node, without waiting for the one before, and starts it again once it ended. */
    private void stopInTurn(int gapMillis) throws Exception {
        List<Thread> restarts = new ArrayList<>();
        for (var edge : mEdges) {
            mStoppedAt.put(edge, System.nanoTime());
            edge.stop();
            restarts.add(Thread.ofVirtual().start(() -> startAgain(edge)));
            Await.pause(gapMillis);
        }
        for (var restart : restarts) {
            restart.join();
        }
    }

    private void startAgain(EdgeProcess edge) {
        if (edge.await(8) == -1) {
            mBroken.add(edge.node() + " did not end within its grace period");
            edge.kill();
        }
        try {
            edge.start();
            Await.until(edge.node() + " is ready", 15_000, edge::isReady);
        } catch (IOException e) {
            mBroken.add(edge.node() + " did not start again: " + e);
        }
    }

    private void close() throws IOException {
        mDone.set(true);
        mEdges.forEach(EdgeProcess::close);
        for (var replica : mReplicas) {
            replica.close();
        }
        mStore.close();
    }
}
