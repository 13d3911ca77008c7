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
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.fescueport.platform.Await;
import org.fescueport.platform.FaultProxy;
import org.fescueport.platform.FreePorts;
import org.fescueport.platform.Installation;
import org.fescueport.platform.RawCaller;
import org.fescueport.platform.StoreStandIn;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Routers as processes under load, with faults from a seed: signals, restarts, links to the store,
 * to replicas and between nodes that are slow, silent, cut one way or reset, a store that fails in
 * each of its ways, replicas that come and go. Trouble and calm alternate; in calm, changes must be
 * in force in time and callers be served.
 *
 * <p>{@code -Dsoak.seed} and {@code -Dsoak.seeds} choose the seeds, {@code -Dsoak.rounds} the
 * length; the logs of all processes stay in {@code target/soak}.
 */
class DirectSoakTest {
    private static final int EDGES = 3;
    private static final int CALLERS = 9;
    private static final long TROUBLE_MS = 5_000;

    /** What the store and the nodes need after the last fault before bounds hold again. */
    private static final long SETTLING_MS = 4_000;

    /** Bound on drains and on configurations. */
    private static final long BOUND_MS = 2_000;

    private static final double CALM_SERVED = 0.95;

    /** One in so many requests carries a key that only one configuration knows. */
    private static final int KEY_TURN = 6;

    private final List<EdgeProcess> mEdges = new ArrayList<>();
    private final List<FaultProxy> mStoreLinks = new ArrayList<>();
    private final List<FaultProxy> mPeerLinks = new ArrayList<>();
    private final List<SoakReplica> mReplicas = new CopyOnWriteArrayList<>();
    private final Set<EdgeProcess> mRestarting = ConcurrentHashMap.newKeySet();
    private final SoakRecords mRecords = new SoakRecords();
    private final AtomicInteger mIds = new AtomicInteger();
    private final AtomicBoolean mStopped = new AtomicBoolean();
    private final List<SoakReplica> mDeparted = new CopyOnWriteArrayList<>();
    private final SoakKeys mKeys = new SoakKeys(mRecords);
    private StoreStandIn mStore;
    private SoakDrill mDrill;
    private SplittableRandom mRandom;
    private volatile int mVersion = 1;
    private int mReplicaNumber;

    /** Seeds that once failed stay here, each with the cause in a line of docs/FINDINGS.md. */
    static LongStream seeds() {
        long first = Long.getLong("soak.seed", 1L);
        return LongStream.range(first, first + Long.getLong("soak.seeds", 1L));
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void shouldKeepItsPromisesThroughFaults(long seed) throws Exception {
        mRandom = new SplittableRandom(seed);
        Path folder = Files.createDirectories(Path.of("target", "soak", Long.toString(seed)));
        try {
            startFleet(folder, seed);
            List<Thread> callers = startCallers(seed);
            for (int round = 0; round < Integer.getInteger("soak.rounds", 2); round++) {
                trouble();
                calm();
            }
            mStopped.set(true);
            for (var caller : callers) {
                caller.join(TimeUnit.SECONDS.toMillis(20));
            }
            mRecords.finish();
            assertThat("seed " + seed, mRecords.allBroken(), is(List.of()));
            assertThat(mRecords.served(), is(greaterThan(100)));
            assertThat("served in calm", mRecords.calmShare(), is(greaterThan(CALM_SERVED)));
        } finally {
            stopFleet();
        }
    }

    private void startFleet(Path folder, long seed) throws IOException {
        mStore = StoreStandIn.start();
        mDrill = new SoakDrill(mStore, seed);
        configure();
        for (int i = 0; i < 4; i++) {
            addReplica("llm");
            addReplica("api");
        }
        List<InetSocketAddress> controls = new ArrayList<>();
        List<InetSocketAddress> seeds = new ArrayList<>();
        for (int i = 0; i < EDGES; i++) {
            controls.add(FreePorts.next());
            mPeerLinks.add(FaultProxy.before(controls.get(i)));
            seeds.add(mPeerLinks.get(i).address());
        }
        mStore.showNodesAt(node -> seeds.get(controls.indexOf(node)));
        for (int i = 0; i < EDGES; i++) {
            var link = FaultProxy.before(mStore.address());
            mStoreLinks.add(link);
            String node = "edge-" + i;
            var edge =
                    new EdgeProcess(
                            node, folder, link.address(), controls.get(i), others(seeds, i));
            mEdges.add(edge);
            edge.start();
        }
        mEdges.forEach(edge -> Await.until(edge.node() + " is ready", 15_000, edge::isReady));
    }

    private static List<InetSocketAddress> others(List<InetSocketAddress> all, int own) {
        List<InetSocketAddress> others = new ArrayList<>(all);
        others.remove(own);
        return others;
    }

    private void stopFleet() throws IOException {
        mStopped.set(true);
        mEdges.forEach(EdgeProcess::close);
        for (var replica : mReplicas) {
            replica.close();
        }
        for (var replica : mDeparted) {
            replica.close();
        }
        for (var link : links()) {
            link.close();
        }
        mStore.close();
    }

    /** Returns the links to the store and between the nodes. */
    private List<FaultProxy> links() {
        return Stream.concat(mStoreLinks.stream(), mPeerLinks.stream()).toList();
    }

    private void configure() {
        mVersion += 1 + mVersion % 3;
        configureAgain();
    }

    private void configureAgain() {
        int version = mVersion;
        mStore.configure(Installation.configuration(version, SoakKeys.keyOf(version)));
    }

    private SoakReplica addReplica(String service) throws IOException {
        mReplicaNumber++;
        String id = service + "-" + mReplicaNumber;
        var replica = new SoakReplica(id, service, mRecords, mReplicaNumber);
        mReplicas.add(replica);
        replica.register(mStore, "ready");
        return replica;
    }

    private List<Thread> startCallers(long seed) {
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            var random = new SplittableRandom(seed * 1_000 + i);
            callers.add(Thread.ofVirtual().start(() -> callAgainAndAgain(random)));
        }
        return callers;
    }

    /** Keeps a connection for as long as it lasts, as callers do, then goes to another node. */
    private void callAgainAndAgain(SplittableRandom random) {
        while (!mStopped.get()) {
            EdgeProcess edge = mEdges.get(random.nextInt(EDGES));
            if (!edge.isReady()) {
                Await.pause(20);
                continue;
            }
            try (var caller = RawCaller.connect(edge.callers())) {
                boolean open = true;
                while (open && !mStopped.get()) {
                    open =
                            random.nextInt(KEY_TURN) == 0
                                    ? callWithAKey(edge, caller, random)
                                    : call(caller, random);
                    Await.pause(5 + random.nextInt(30));
                }
            } catch (IOException e) {
                // The node is gone or was frozen for too long; the next one is asked.
                Await.pause(20);
            }
        }
    }

    private boolean call(RawCaller caller, SplittableRandom random) throws IOException {
        String kind = List.of("safe", "unsafe", "stream").get(random.nextInt(3));
        String id = "id-" + mIds.incrementAndGet();
        String path = "/" + kind + "/" + random.nextInt(50);
        mRecords.onAsked(id, path);
        String method = kind.equals("safe") ? "GET" : "POST";
        String body = kind.equals("safe") ? "" : "body of " + id;
        caller.send(Installation.request(method, path, id, body));
        var answer = caller.receive();
        mRecords.onAnswer(id, answer);
        return answer.complete() && !"close".equals(answer.header("Connection"));
    }

    /** Asks with the key of a former configuration, or of the newest. */
    private boolean callWithAKey(EdgeProcess edge, RawCaller caller, SplittableRandom random)
            throws IOException {
        int newest = mVersion;
        int version = Math.max(2, newest - random.nextInt(8));
        String life = edge.life();
        String id = "id-" + mIds.incrementAndGet();
        String path = "/safe/" + random.nextInt(50);
        mRecords.onAsked(id, path);
        String request = Installation.request("GET", path, id, "");
        caller.send(request.replace("key-1", SoakKeys.keyOf(version)));
        var answer = caller.receive();
        if (life.equals(edge.life())) {
            mKeys.onAnswer(life, version, answer.status(), version == newest);
        }
        return answer.complete() && !"close".equals(answer.header("Connection"));
    }

    /** Starts what a signal has ended before it could take signals; any other end is a fault. */
    private void startWhatEnded() {
        for (var edge : mEdges) {
            if (!edge.isAlive() && !mRestarting.contains(edge)) {
                if (!edge.hasEndedWhileStarting()) {
                    mRecords.broken(edge.node() + " ended by itself");
                }
                startIfEnded(edge);
            }
        }
    }

    /** Faults that follow each other quickly and overlap. */
    private void trouble() throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TROUBLE_MS);
        while (System.nanoTime() - end < 0) {
            startWhatEnded();
            oneFault();
            mDrill.tick(this::configureAgain, mReplicas, mDeparted);
            Await.pause(150 + mRandom.nextInt(500));
        }
        mStore.mode(StoreStandIn.Mode.GOOD);
        links().forEach(link -> link.mode(FaultProxy.Mode.PASS));
        for (var replica : mReplicas) {
            replica.proxy().mode(FaultProxy.Mode.PASS);
            replica.failing(0);
        }
        for (var edge : mEdges) {
            edge.thaw();
        }
    }

    private void oneFault() throws Exception {
        EdgeProcess edge = mEdges.get(mRandom.nextInt(EDGES));
        SoakReplica replica = mReplicas.get(mRandom.nextInt(mReplicas.size()));
        FaultProxy link = mStoreLinks.get(mRandom.nextInt(EDGES));
        FaultProxy peers = mPeerLinks.get(mRandom.nextInt(EDGES));
        var modes = FaultProxy.Mode.values();
        switch (mRandom.nextInt(14)) {
            case 0 -> {
                if (!mRestarting.contains(edge)) {
                    edge.kill();
                    edge.start();
                }
            }
            case 1 -> {
                if (!mRestarting.contains(edge)) {
                    restartLater(edge);
                }
            }
            case 2 -> freezeFor(edge, 300 + mRandom.nextInt(2_000));
            case 3, 4 -> {
                var all = StoreStandIn.Mode.values();
                mStore.mode(all[mRandom.nextInt(all.length)]);
            }
            case 5 -> link.mode(modes[mRandom.nextInt(modes.length)]);
            case 6 -> replica.proxy().mode(modes[mRandom.nextInt(modes.length)]);
            case 7 -> replica.proxy().resetAll();
            case 8 -> replica.failing(0.4);
            case 9 -> configure();
            case 10 -> mStore.compact(mRandom.nextBoolean() ? "keyed.op" : "keyed.servers");
            case 11 -> edge.hangUp();
            case 12 -> peers.mode(modes[mRandom.nextInt(modes.length)]);
            case 13 -> peers.resetAll();
            default -> throw new IllegalStateException("no such fault");
        }
    }

    /** A planned stop; the node starts again once it has ended by itself. */
    private void restartLater(EdgeProcess edge) {
        mRestarting.add(edge);
        edge.stop();
        Thread.ofVirtual()
                .start(
                        () -> {
                            if (edge.await(10) == -1) {
                                mRecords.broken(edge.node() + " did not end in its time");
                                edge.kill();
                            }
                            startIfEnded(edge);
                            mRestarting.remove(edge);
                        });
    }

    private void startIfEnded(EdgeProcess edge) {
        try {
            if (!mStopped.get() && !edge.isAlive()) {
                edge.start();
            }
        } catch (IOException e) {
            mRecords.broken(edge.node() + " cannot be started: " + e);
        }
    }

    private void freezeFor(EdgeProcess edge, long millis) throws IOException {
        edge.freeze();
        Thread.ofVirtual()
                .start(
                        () -> {
                            Await.pause(millis);
                            try {
                                edge.thaw();
                            } catch (IOException e) {
                                mRecords.broken(edge.node() + " cannot be thawed: " + e);
                            }
                        });
    }

    /** Nothing is disturbed: what changes must be in force in time, and callers be served. */
    private void calm() throws Exception {
        Await.pause(SETTLING_MS / 2);
        startWhatEnded();
        mDrill.await();
        Await.pause(SETTLING_MS);
        mEdges.forEach(edge -> Await.until(edge.node() + " is ready", 15_000, edge::isReady));
        mRecords.calm(true);
        SoakReplica leaving = mReplicas.getFirst();
        addReplica(leaving.id().startsWith("llm") ? "llm" : "api");
        leaving.register(mStore, "draining");
        long ack = System.nanoTime();
        Await.pause(BOUND_MS + 1_000);
        long late = mRecords.lastArrivalNanos(leaving.id()) - ack;
        if (late > TimeUnit.MILLISECONDS.toNanos(BOUND_MS)) {
            mRecords.broken(leaving.id() + " got work " + late / 1_000_000 + " ms after it left");
        }
        mStore.remove("keyed.servers", leaving.id());
        mReplicas.remove(leaving);
        mDeparted.add(leaving);
        mRecords.onDeparted(leaving.id(), ack + TimeUnit.MILLISECONDS.toNanos(BOUND_MS));
        mRecords.calm(false);
    }
}
