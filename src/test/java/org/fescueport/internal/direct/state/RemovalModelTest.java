package org.fescueport.internal.direct.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.micrometer.core.instrument.MockClock;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.direct.log.EventLog;
import org.jmock.lib.concurrent.DeterministicScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Searches on a paused clock for phases in which nodes that nothing disturbs use a removed replica
 * for too long. The first node reads the store for a second one, and that one relays to a third.
 */
class RemovalModelTest {
    private static final int SEEDS = Integer.getInteger("removal.model.seeds", 40);
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration HEARTBEAT = Duration.ofMillis(1_200);
    private static final Duration BOUND = Duration.ofSeconds(2);
    private static final Duration SWEEP = Duration.ofMillis(250);

    /** Time for requests that are on their way to a replica. */
    private static final Duration ON_THE_WAY = Duration.ofMillis(100);

    /** As the direct way waits for a node that provides records, and for each relay. */
    private static final Duration PULSE_TIMEOUT = Duration.ofMillis(1_250);

    private static final Duration TIMEOUT_PER_RELAY = Duration.ofMillis(100);
    private static final int NODES = 3;

    private final MockClock mClock = new MockClock();
    private final DeterministicScheduler mScheduler = new DeterministicScheduler();
    private final EventLog mLog =
            EventLog.start(OutputStream.nullOutputStream(), mClock, "test", 1);
    private final ModelStore mStore = new ModelStore(mScheduler);
    private final List<Node> mNodes = new ArrayList<>();
    private final Map<String, Long> mHeartbeats = new HashMap<>();
    private long mNowMillis;

    @AfterEach
    void stop() {
        mLog.close();
    }

    /** What happens to the first node again and again. */
    enum Disturbance {
        TURNED_AWAY(ModelStore.Mode.TURNED_AWAY),
        HELD_LINK(ModelStore.Mode.SILENT),
        HISTORY_GONE(ModelStore.Mode.GONE),
        /** The node does nothing, and its peers hear nothing of it. */
        FROZEN(ModelStore.Mode.SILENT);

        private final ModelStore.Mode mMode;

        Disturbance(ModelStore.Mode mode) {
            mMode = mode;
        }
    }

    private final class Node implements StateReader.Listener {
        private final FleetView mView =
                FleetView.create(new HeartbeatDecoder(), mLog, BOUND, HEARTBEAT);
        private final int mRank;
        private final StateReader mReader;
        private ModelStore.Mode mMode = ModelStore.Mode.GOOD;
        private boolean mFrozen;
        private long mPulseMillis;

        Node(int rank) {
            mRank = rank;
            var eras = EraTracker.create(mClock, mLog);
            var store = mStore.forNode(eras, () -> mMode);
            mReader = StateReader.create(store, eras, mView, this, mScheduler, mClock, mLog);
            mReader.start();
        }

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
            pulse(answered);
        }

        private void pulse(boolean reading) {
            if (mRank + 1 < mNodes.size() && !mFrozen) {
                mNodes.get(mRank + 1).onPulse(this, reading);
            }
        }

        private void onPulse(Node upstream, boolean reading) {
            long now = mClock.monotonicTime();
            mView.onRecordsFromPeer(now);
            mView.applyBatch(upstream.mView.replicasSince(mView.next(StateTopic.REPLICAS)), now);
            if (reading) {
                mPulseMillis = mNowMillis;
                mView.onStoreContact(now);
                pulse(true);
            } else {
                mPulseMillis = 0;
            }
        }

        private void tick() {
            long timeout = PULSE_TIMEOUT.plus(TIMEOUT_PER_RELAY.multipliedBy(mRank)).toMillis();
            mReader.setActive(mRank == 0 || mNowMillis - mPulseMillis > timeout);
        }

        private boolean uses(String id) {
            return mView.replica(NodeId.of(id)).isPresent();
        }
    }

    private void write(String id) {
        long number = mHeartbeats.merge(id, 1L, Long::sum);
        byte[] value = ("ready " + number + " 7").getBytes(StandardCharsets.UTF_8);
        mStore.append(StateTopic.REPLICAS, id, Optional.of(value));
    }

    private void remove(String id) {
        mStore.append(StateTopic.REPLICAS, id, Optional.empty());
    }

    private void start() {
        write("stays");
        for (int i = 0; i < NODES; i++) {
            mNodes.add(new Node(i));
        }
        run(Duration.ofSeconds(3));
    }

    private void run(Duration time) {
        for (long end = mNowMillis + time.toMillis(); mNowMillis < end; ) {
            mNowMillis += STEP.toMillis();
            mClock.add(STEP);
            mScheduler.tick(STEP.toMillis(), TimeUnit.MILLISECONDS);
            mNodes.forEach(Node::tick);
            if (mNowMillis % SWEEP.toMillis() == 0) {
                mNodes.forEach(node -> node.mView.expire(mClock.monotonicTime()));
            }
        }
    }

    /** Returns how long the nodes that nothing disturbs use a replica after its removal. */
    private long useAfterRemoval(String id, Duration atMost) {
        long removed = mNowMillis;
        remove(id);
        while (mNowMillis - removed < atMost.toMillis()
                && mNodes.subList(1, NODES).stream().anyMatch(node -> node.uses(id))) {
            run(STEP);
        }
        return mNowMillis - removed;
    }

    private void disturb(Disturbance disturbance, boolean active) {
        Node first = mNodes.getFirst();
        first.mMode = active ? disturbance.mMode : ModelStore.Mode.GOOD;
        first.mFrozen = active && disturbance == Disturbance.FROZEN;
    }

    @ParameterizedTest
    @EnumSource(Disturbance.class)
    void shouldNotUseRemovedReplicasLongerAtNodesThatNothingDisturbs(Disturbance disturbance) {
        start();
        long longest = BOUND.minus(ON_THE_WAY).toMillis();
        for (int seed = 0; seed < SEEDS; seed++) {
            var random = new SplittableRandom(seed);
            String id = "goes-" + seed;
            write(id);
            run(Duration.ofSeconds(2));
            int length = random.nextInt(50, 3_000);
            int phase = random.nextInt(0, length);
            disturb(disturbance, true);
            run(Duration.ofMillis(phase));
            mScheduler.schedule(
                    () -> disturb(disturbance, false), length - phase, TimeUnit.MILLISECONDS);
            run(Duration.ofMillis(random.nextInt(0, 2_000)));
            assertThat("seed " + seed, useAfterRemoval(id, BOUND), lessThanOrEqualTo(longest));
            run(Duration.ofSeconds(3));
        }
    }

    /** Lengths in milliseconds, in which the entries of live replicas may expire. */
    @ParameterizedTest
    @ValueSource(longs = {2_400, 3_600, 5_000, 9_000})
    void shouldUseReplicasWhoseEntriesExpiredInAnOutageTwoSecondsAfterIt(long length) {
        start();
        for (int seed = 0; seed < SEEDS; seed++) {
            var random = new SplittableRandom(seed);
            run(Duration.ofMillis(random.nextInt(0, 2_000)));
            mStore.mode(
                    random.nextBoolean() ? ModelStore.Mode.SILENT : ModelStore.Mode.TURNED_AWAY);
            run(Duration.ofMillis(length));
            remove("stays");
            mStore.mode(ModelStore.Mode.GOOD);
            mScheduler.schedule(() -> write("stays"), 1_200, TimeUnit.MILLISECONDS);
            assertAllUse("stays", seed, Duration.ofMillis(1_500));
            run(Duration.ofMillis(500));
            assertAllUse("stays", seed, Duration.ofSeconds(2));
        }
    }

    private void assertAllUse(String id, int seed, Duration time) {
        for (long end = mNowMillis + time.toMillis(); mNowMillis < end; ) {
            run(STEP);
            for (var node : mNodes) {
                assertThat("seed " + seed, node.uses(id), is(true));
            }
        }
    }
}
