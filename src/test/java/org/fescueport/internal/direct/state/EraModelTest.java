package org.fescueport.internal.direct.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.micrometer.core.instrument.MockClock;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.direct.log.EventLog;
import org.jmock.lib.concurrent.DeterministicScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Runs many nodes against one store that is restored from backups, on a paused clock. The first
 * node reads for the others, as in production; in some scenarios nodes are isolated from the store,
 * or from the first node.
 */
class EraModelTest {
    private static final int SEEDS = Integer.getInteger("era.model.seeds", 50);
    private static final Duration STEP = Duration.ofMillis(50);
    private static final Duration HEARTBEAT = Duration.ofMillis(1_200);
    private static final Duration MAX_USE_AFTER_REMOVAL = Duration.ofSeconds(2);

    /** Maximum time from a replica's record in the store until all nodes use the replica. */
    private static final Duration MAX_TIME_TO_USE = Duration.ofMillis(2_500);

    /** Maximum rates of calls per second that the stores of small and large fleets can handle. */
    private static final long MAX_WRITES = 400;

    private static final long MAX_READS = 2_000;
    private static final long MAX_READS_LARGE = 16_000;
    private static final int SMALL_FLEET = 40;

    private static final int REPLICAS = 5;

    private final MockClock mClock = new MockClock();
    private final DeterministicScheduler mScheduler = new DeterministicScheduler();
    private final EventLog mLog =
            EventLog.start(OutputStream.nullOutputStream(), mClock, "test", 1);
    private final ModelStore mStore = new ModelStore(mScheduler);
    private final List<Node> mNodes = new ArrayList<>();
    private final Map<String, ReplicaWriter> mReplicas = new HashMap<>();
    private final Set<String> mDeparted = new HashSet<>();
    private long mVersion = 10;
    private long mNowMillis;
    private boolean mStarted;
    private final LastSecond mCallsPerSecond = new LastSecond();
    private final LastSecond mWritesPerSecond = new LastSecond();

    @AfterEach
    void closeLog() {
        mLog.close();
    }

    /** Sums the values of the steps in the last second. */
    private static final class LastSecond {
        private final Deque<Long> mSteps = new ArrayDeque<>();
        private long mSum;

        void add(long count) {
            mSteps.addLast(count);
            mSum += count;
            if (mSteps.size() > Duration.ofSeconds(1).dividedBy(STEP)) {
                mSum -= mSteps.removeFirst();
            }
        }

        long sum() {
            return mSum;
        }
    }

    /** A replica that writes heartbeats until it leaves. */
    private final class ReplicaWriter {
        private final String mId;
        private final long mIncarnation;
        private int mHeartbeatNumber;
        private long mNextMillis;
        private long mWrittenMillis;

        ReplicaWriter(String id, long life) {
            mId = id;
            mIncarnation = life;
        }

        void writeHeartbeat() {
            mHeartbeatNumber++;
            mWrittenMillis = mNowMillis;
            mNextMillis = mNowMillis + HEARTBEAT.toMillis();
            write("ready " + mHeartbeatNumber + " " + mIncarnation);
        }

        private void write(String words) {
            byte[] value = words.getBytes(StandardCharsets.UTF_8);
            mStore.append(StateTopic.REPLICAS, mId, Optional.of(value));
        }
    }

    /** One node with the components that follow the store. */
    private final class Node {
        private final EraTracker mEras = EraTracker.create(mClock, mLog);
        private final FleetView mView =
                FleetView.create(new HeartbeatDecoder(), mLog, MAX_USE_AFTER_REMOVAL, HEARTBEAT);
        private final StateReader mReader;
        private final NodeRegistrar mRegistrar;
        private ModelStore.Mode mMode = ModelStore.Mode.GOOD;
        private Optional<StorePosition> mRank = Optional.empty();
        private OptionalLong mShownVersion = OptionalLong.empty();
        private boolean mIsolated;

        Node(int number, SplittableRandom random) {
            var store = mStore.forNode(mEras, () -> mMode);
            var listener = new Listener();
            mReader = StateReader.create(store, mEras, mView, listener, mScheduler, mClock, mLog);
            mRegistrar =
                    NodeRegistrar.create(
                            store,
                            new HeartbeatDecoder(),
                            mScheduler,
                            mLog,
                            random,
                            "node-" + number,
                            InetSocketAddress.createUnresolved("node-" + number, 80),
                            FailureDomain.of("north"),
                            (rank, entries) -> mRank = Optional.of(rank));
            mEras.listen(this::onNewEra);
            mReader.start();
            mRegistrar.start();
        }

        private void onNewEra() {
            mView.onNewEra(mClock.monotonicTime());
            mReader.refresh();
            mRegistrar.onNewEra();
        }

        private boolean isFirst() {
            return mNodes.getFirst() == this;
        }

        /** Applies what another node knows, as peers exchange it. */
        private void syncFrom(Node other) {
            long now = mClock.monotonicTime();
            mEras.onPeer(other.mEras.current());
            mView.onStoreContact(now);
            if (version(other) > version(this)) {
                mView.applyBatch(other.mView.snapshot(StateTopic.CONFIGURATION), now);
            }
            StorePosition next = mView.next(StateTopic.REPLICAS);
            if (next.isBefore(other.mView.next(StateTopic.REPLICAS))) {
                mView.applyBatch(other.mView.replicasSince(next), now);
            }
            mView.applyBatch(other.mView.departedButListed(mView.next(StateTopic.REPLICAS)), now);
        }

        private final class Listener implements StateReader.Listener {
            @Override
            public void onBatch(RecordBatch batch) {
                mView.applyBatch(batch, mClock.monotonicTime());
            }

            @Override
            public void onFirstReplicas(List<StateRecord> records) {
                mView.applyFirstReplicas(records, mClock.monotonicTime());
            }

            @Override
            public void onReplicasRead(boolean answered) {
                if (isFirst() && answered) {
                    mNodes.stream()
                            .filter(node -> !node.isFirst() && !node.mIsolated)
                            .forEach(node -> node.syncFrom(Node.this));
                }
            }
        }
    }

    private static long version(Node node) {
        return node.mView.configurationVersion().orElse(-1);
    }

    private void configure() {
        byte[] value = Long.toString(mVersion).getBytes(StandardCharsets.UTF_8);
        mStore.append(StateTopic.CONFIGURATION, "config", Optional.of(value));
    }

    private void start(int nodes, SplittableRandom random) {
        configure();
        for (int i = 0; i < REPLICAS; i++) {
            addReplica("r" + i, 7);
        }
        for (int i = 0; i < nodes; i++) {
            mNodes.add(new Node(i, random.split()));
        }
        run(Duration.ofSeconds(3));
        assignReaders();
        run(Duration.ofSeconds(2));
        mStarted = true;
    }

    /** Only the first node reads from the store, and those that are isolated from it. */
    private void assignReaders() {
        for (var node : mNodes) {
            node.mReader.setActive(node.isFirst() || node.mIsolated);
        }
    }

    private void addReplica(String id, long life) {
        var writer = new ReplicaWriter(id, life);
        mReplicas.put(id, writer);
        writer.writeHeartbeat();
    }

    private void depart(String id) {
        mReplicas.remove(id);
        mDeparted.add(id);
        mStore.append(StateTopic.REPLICAS, id, Optional.empty());
    }

    private void run(Duration time) {
        long end = mNowMillis + time.toMillis();
        while (mNowMillis < end) {
            mNowMillis += STEP.toMillis();
            mClock.add(STEP);
            long before = mStore.calls();
            long writesBefore = mStore.writes();
            mScheduler.tick(STEP.toMillis(), TimeUnit.MILLISECONDS);
            mReplicas.values().stream()
                    .filter(replica -> replica.mNextMillis <= mNowMillis)
                    .forEach(ReplicaWriter::writeHeartbeat);
            for (var node : mNodes) {
                node.mView.expire(mClock.monotonicTime());
                assertThat(version(node), greaterThanOrEqualTo(node.mShownVersion.orElse(-1)));
                node.mShownVersion = OptionalLong.of(version(node));
            }
            mCallsPerSecond.add(mStore.calls() - before);
            mWritesPerSecond.add(mStore.writes() - writesBefore);
            if (mStarted) {
                assertThat(mWritesPerSecond.sum(), lessThanOrEqualTo(MAX_WRITES));
                long reads = mCallsPerSecond.sum() - mWritesPerSecond.sum();
                boolean many = mNodes.size() > SMALL_FLEET;
                assertThat(reads, lessThanOrEqualTo(many ? MAX_READS_LARGE : MAX_READS));
            }
        }
    }

    private boolean isUsable(Node node, String id) {
        return node.mView.replica(NodeId.of(id)).filter(e -> !e.leaving()).isPresent();
    }

    private void assertThatNoNodeUsesADepartedReplica() {
        for (var node : mNodes) {
            mDeparted.forEach(id -> assertThat(id, isUsable(node, id), is(false)));
        }
    }

    private void assertThatAllNodesUseEveryLiveReplica() {
        for (var node : mNodes) {
            mReplicas.keySet().forEach(id -> assertThat(id, isUsable(node, id), is(true)));
        }
    }

    private void assertThatRanksDiffer() {
        Set<StorePosition> ranks = new HashSet<>();
        mNodes.forEach(node -> assertThat(ranks.add(node.mRank.orElseThrow()), is(true)));
    }

    /** State of the fleet at the time of the restore. */
    enum Scenario {
        CALM,
        IN_AN_OUTAGE,
        TWICE,
        HALF_OF_THE_NODES_ISOLATED_FROM_THE_STORE,
        SOME_NODES_ISOLATED_FROM_THE_FIRST,
        GROWN_PAST_THE_OLD_OFFSET,
        WHILE_A_NODE_STARTS
    }

    @ParameterizedTest
    @EnumSource(Scenario.class)
    void shouldKeepInvariantsAcrossARestoreWithFourNodes(Scenario scenario) {
        runScenarios(scenario, 4, SEEDS);
    }

    @ParameterizedTest
    @EnumSource(Scenario.class)
    void shouldKeepInvariantsAcrossARestoreWithThirtyThreeNodes(Scenario scenario) {
        runScenarios(scenario, 33, Math.max(1, SEEDS / 10));
    }

    @ParameterizedTest
    @EnumSource(Scenario.class)
    void shouldKeepInvariantsAcrossARestoreWithThreeHundredAndThirtyNodes(Scenario scenario) {
        runScenarios(scenario, 330, 1);
    }

    private void runScenarios(Scenario scenario, int nodes, int seeds) {
        for (int seed = 1; seed <= seeds; seed++) {
            var one = new EraModelTest();
            try {
                one.runScenario(scenario, nodes, new SplittableRandom(seed));
            } catch (AssertionError e) {
                throw new AssertionError("scenario " + scenario + ", seed " + seed, e);
            } finally {
                one.closeLog();
            }
        }
    }

    private void runScenario(Scenario scenario, int nodes, SplittableRandom random) {
        start(nodes, random);
        if (scenario == Scenario.SOME_NODES_ISOLATED_FROM_THE_FIRST) {
            mNodes.subList(nodes / 2, nodes).forEach(node -> node.mIsolated = true);
            assignReaders();
        }
        run(Duration.ofSeconds(4));
        var backupSizes = mStore.sizes();
        run(Duration.ofMillis(500 + random.nextInt(6_000)));
        mVersion++;
        configure();
        depart("r0");
        addReplica("new", 7);
        run(MAX_USE_AFTER_REMOVAL);
        assertThatNoNodeUsesADepartedReplica();
        restoreStore(scenario, backupSizes, random);
        rewriteRecords(random);
        // The backup still lists departed replicas until the platform removes them again.
        run(HEARTBEAT.multipliedBy(3));
        assertThatNoNodeUsesADepartedReplica();
        mDeparted.forEach(id -> mStore.append(StateTopic.REPLICAS, id, Optional.empty()));
        mNodes.forEach(node -> node.mMode = ModelStore.Mode.GOOD);
        addReplica("newest", 7);
        run(MAX_TIME_TO_USE);
        assertThatNoNodeUsesADepartedReplica();
        assertThatAllNodesUseEveryLiveReplica();
        assertThatRanksDiffer();
        mNodes.forEach(node -> assertThat(version(node), is(mVersion)));
    }

    private void restoreStore(
            Scenario scenario, Map<StateTopic, Integer> backupSizes, SplittableRandom random) {
        switch (scenario) {
            case IN_AN_OUTAGE -> {
                mStore.mode(ModelStore.Mode.SILENT);
                run(Duration.ofMillis(500 + random.nextInt(3_000)));
                mStore.restoreFromCopy(backupSizes);
                mStore.mode(ModelStore.Mode.GOOD);
            }
            case TWICE -> {
                mStore.restoreFromCopy(backupSizes);
                run(Duration.ofMillis(50 + random.nextInt(1_900)));
                mStore.restoreFromCopy(backupSizes);
            }
            case HALF_OF_THE_NODES_ISOLATED_FROM_THE_STORE -> {
                mNodes.subList(mNodes.size() / 2, mNodes.size())
                        .forEach(node -> node.mMode = ModelStore.Mode.TURNED_AWAY);
                mStore.restoreFromCopy(backupSizes);
            }
            case GROWN_PAST_THE_OLD_OFFSET -> {
                mStore.restoreFromCopy(backupSizes);
                for (int i = 0; i < 40; i++) {
                    mReplicas.values().forEach(ReplicaWriter::writeHeartbeat);
                }
            }
            case WHILE_A_NODE_STARTS -> {
                mStore.restoreFromCopy(backupSizes);
                mNodes.add(new Node(mNodes.size(), random.split()));
                mNodes.getLast().syncFrom(mNodes.getFirst());
            }
            case CALM, SOME_NODES_ISOLATED_FROM_THE_FIRST -> mStore.restoreFromCopy(backupSizes);
            default -> throw new IllegalStateException("scenario " + scenario);
        }
    }

    /** The operator and the replicas write their records again, at random times. */
    private void rewriteRecords(SplittableRandom random) {
        List<ReplicaWriter> writers = new ArrayList<>(mReplicas.values());
        int maxDelayMillis = random.nextInt(2_000);
        if (random.nextBoolean()) {
            configure();
        }
        for (var writer : writers) {
            run(
                    Duration.ofMillis(
                            maxDelayMillis / writers.size() / STEP.toMillis() * STEP.toMillis()));
            writer.writeHeartbeat();
        }
        configure();
    }

    @ParameterizedTest
    @CsvSource({"GONE, 40", "TURNED_AWAY, 40", "SILENT, 40", "GOOD, 4"})
    void shouldPauseBetweenCallsWhateverTheStoreAnswers(
            ModelStore.Mode mode, int maxCallsPerSecond) {
        start(1, new SplittableRandom(1));
        mStore.mode(mode);
        run(Duration.ofSeconds(2));
        long before = mStore.calls();
        run(Duration.ofSeconds(60));
        assertThat((mStore.calls() - before) / 60, lessThanOrEqualTo((long) maxCallsPerSecond));
    }

    @ParameterizedTest
    @CsvSource({"4", "33", "330"})
    void shouldSpreadTheRegistrationsOfAllNodesAfterARestore(int nodes) {
        start(nodes, new SplittableRandom(1));
        var backupSizes = mStore.sizes();
        run(Duration.ofSeconds(2));
        long writesBeforeRestore = mStore.writes();
        mStore.restoreFromCopy(backupSizes);
        long maxWrites = 0;
        for (int i = 0; i < 30; i++) {
            long before = mStore.writes();
            run(Duration.ofMillis(100));
            maxWrites = Math.max(maxWrites, mStore.writes() - before);
        }
        assertThat(mStore.writes() - writesBeforeRestore, is((long) nodes));
        // The store can handle 400 writes per second.
        assertThat(maxWrites, lessThanOrEqualTo(40L));
        assertThatRanksDiffer();
    }
}
