package org.fescueport.internal.direct.place;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import io.micrometer.core.instrument.MockClock;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.fescueport.internal.decision.Mechanisms;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.decision.attempt.AgentIncarnation;
import org.fescueport.internal.decision.placement.Affinity;
import org.fescueport.internal.decision.placement.ColdReplicaLimiter;
import org.fescueport.internal.decision.placement.ReplicaLoads;
import org.fescueport.internal.decision.placement.ReplicaNotices;
import org.fescueport.internal.decision.placement.ReplicaPace;
import org.fescueport.internal.decision.placement.ReplicaSpeeds;
import org.fescueport.internal.direct.log.EventLog;
import org.fescueport.internal.direct.state.FleetView;
import org.fescueport.internal.direct.state.PlainDecoder;
import org.fescueport.internal.direct.state.RecordBatch;
import org.fescueport.internal.direct.state.ReplicaEntry;
import org.fescueport.internal.direct.state.StateRecord;
import org.fescueport.internal.direct.state.StateTopic;
import org.fescueport.internal.direct.state.StorePosition;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ReplicaChooserTest {
    private static final PoolId POOL = PlainDecoder.POOL;
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final int REPLICAS = 8;

    private final EventLog mLog =
            EventLog.start(OutputStream.nullOutputStream(), new MockClock(), "test", 10);
    private final FleetView mView =
            FleetView.create(
                    new PlainDecoder(), mLog, Duration.ofSeconds(2), Duration.ofMillis(1_200));
    private final ReplicaLoads mLoads = ReplicaLoads.create();
    private final ReplicaNotices mNotices = ReplicaNotices.create();
    private final ReplicaPace mPace = ReplicaPace.create(mLoads, new SplittableRandom(1));
    private final ReplicaSpeeds mSpeeds = ReplicaSpeeds.create();
    private final ColdReplicaLimiter mColdReplicaLimiter =
            ColdReplicaLimiter.create(new SplittableRandom(1));
    private final ReplicaChooser mChooser =
            ReplicaChooser.create(
                    mView, mLoads, mNotices, mColdReplicaLimiter, mPace, mSpeeds, Mechanisms.all());
    private long mOffset;

    ReplicaChooserTest() {
        List<StateRecord> records = new ArrayList<>();
        for (int i = 0; i < REPLICAS; i++) {
            records.add(record("r" + i, "ready"));
        }
        mView.applyBatch(
                new RecordBatch(
                        StateTopic.REPLICAS, StorePosition.START, at(mOffset), true, records),
                0);
    }

    @AfterEach
    void closeLog() {
        mLog.close();
    }

    private static StorePosition at(long offset) {
        return StorePosition.of(0, offset);
    }

    private StateRecord record(String id, String state) {
        return StateRecord.set(at(mOffset++), id, state.getBytes(StandardCharsets.UTF_8));
    }

    private void change(String id, String state, long nowNanos) {
        long from = mOffset;
        var records = List.of(record(id, state));
        mView.applyBatch(
                new RecordBatch(StateTopic.REPLICAS, at(from), at(mOffset), false, records),
                nowNanos);
    }

    private static Affinity key(int number) {
        return new Affinity(number * 0x9e3779b97f4a7c15L, true);
    }

    private ReplicaChooser.Selection choose(Affinity key, long nowNanos) {
        return mChooser.choose(POOL, key, Set.of(), nowNanos).orElseThrow();
    }

    private void addInFlight(NodeId replica, int requests) {
        for (int i = 0; i < requests; i++) {
            mLoads.onSent(replica);
        }
    }

    @Test
    void shouldSendEqualPrefixesToOneReplicaAndSpreadTheRest() {
        Map<NodeId, Integer> counts = new HashMap<>();
        for (int i = 0; i < 400; i++) {
            var first = choose(key(i), 0).replica();
            assertThat(choose(key(i), 0).replica(), is(first));
            counts.merge(first.id(), 1, Integer::sum);
        }
        assertThat(counts.size(), is(REPLICAS));
    }

    @ParameterizedTest
    @CsvSource({"false, 3, 8", "true, 0, 1"})
    void shouldSendFewRequestsToANewReplicaWhereReplicasShareTheirMachines(
            boolean shared, int atLeast, int atMost) {
        if (shared) {
            mSpeeds.onReport(NodeId.of("r1"), 100, 0);
        }
        choose(key(0), 0);
        change("r8", "ready", 2 * SECOND);
        int chosen = 0;
        for (int i = 0; i < 4 * REPLICAS; i++) {
            var any = new Affinity(i * 0x9e3779b97f4a7c15L, false);
            var replica = choose(any, 2 * SECOND + i).replica();
            mLoads.onSent(replica.id());
            chosen += replica.id().equals(NodeId.of("r8")) ? 1 : 0;
        }
        assertThat(chosen, is(greaterThan(atLeast - 1)));
        assertThat(chosen, is(lessThan(atMost + 1)));
    }

    @Test
    void shouldLetThePaceGiveWayIfNoOtherReplicaIsLeft() {
        mSpeeds.onReport(NodeId.of("r1"), 100, 0);
        choose(key(0), 0);
        change("r8", "ready", 2 * SECOND);
        Set<NodeId> tried = new HashSet<>();
        for (int i = 0; i < REPLICAS; i++) {
            tried.add(NodeId.of("r" + i));
        }
        for (int i = 0; i < 10; i++) {
            var chosen = mChooser.choose(POOL, key(i), tried, 2 * SECOND + i);
            assertThat(chosen.orElseThrow().replica().id(), is(NodeId.of("r8")));
        }
    }

    private void configure(int version) {
        var record = StateRecord.set(at(version), "config", String.valueOf(version).getBytes());
        mView.applyBatch(
                new RecordBatch(
                        StateTopic.CONFIGURATION,
                        StorePosition.START,
                        at(version + 1),
                        true,
                        List.of(record)),
                0);
    }

    @ParameterizedTest
    @CsvSource({"1, false", "4, false", "33, false", "1, true", "4, true", "33, true"})
    void shouldLimitAColdReplicaToThisNodesPartOfItsColdRate(int nodes, boolean paced) {
        configure(1);
        if (paced) {
            mSpeeds.onReport(NodeId.of("r1"), 100, 0);
        }
        mColdReplicaLimiter.onNodes(nodes);
        change("r0", "cold", SECOND);
        int sent = 0;
        for (int i = 0; i < 3_000; i++) {
            long now = SECOND + i * Duration.ofMillis(1).toNanos();
            sent += choose(key(i), now).replica().id().name().equals("r0") ? 1 : 0;
        }
        assertThat(sent, lessThan(30 / nodes + 4));
    }

    @Test
    void shouldKeepTheColdRateOfANewReplicaIfThePaceGivesWay() {
        configure(1);
        mColdReplicaLimiter.onNodes(330);
        mSpeeds.onReport(NodeId.of("r1"), 100, 0);
        choose(key(0), 0);
        change("r8", "cold", 2 * SECOND);
        Set<NodeId> tried = new HashSet<>();
        for (int i = 0; i < REPLICAS; i++) {
            tried.add(NodeId.of("r" + i));
        }
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            sent += mChooser.choose(POOL, key(i), tried, 2 * SECOND).isPresent() ? 1 : 0;
        }
        assertThat(sent, lessThan(5));
    }

    @Test
    void shouldNotLimitAReplicaThatHasWarmedUp() {
        configure(1);
        change("r0", "cold", SECOND);
        int sent = 0;
        for (int i = 0; i < 400; i++) {
            sent += choose(key(i), 5 * SECOND).replica().id().name().equals("r0") ? 1 : 0;
        }
        assertThat(sent, greaterThan(20));
    }

    @Test
    void shouldLimitAReplicaThatIsColdAgain() {
        configure(1);
        mColdReplicaLimiter.onNodes(33);
        change("r0", "cold", SECOND);
        change("r0", "ready", 5 * SECOND);
        change("r0", "cold", 9 * SECOND);
        int sent = 0;
        for (int i = 0; i < 400; i++) {
            sent += choose(key(i), 10 * SECOND).replica().id().name().equals("r0") ? 1 : 0;
        }
        assertThat(sent, lessThan(2));
    }

    @Test
    void shouldRarelySendWhenAllReplicasAreColdAndManyNodesShareThem() {
        configure(1);
        mColdReplicaLimiter.onNodes(330);
        for (int i = 0; i < REPLICAS; i++) {
            change("r" + i, "cold", SECOND);
        }
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            sent += mChooser.choose(POOL, key(i), Set.of(), SECOND).isPresent() ? 1 : 0;
        }
        assertThat(sent, lessThan(5));
    }

    @Test
    void shouldSpillToOneSecondReplicaAndReturnTheFirstAsCacheHolder() {
        var home = choose(key(1), 0).replica();
        addInFlight(home.id(), 20);
        var second = choose(key(1), 0);
        assertThat(second.replica().id(), is(not(home.id())));
        assertThat(second.cacheHolder().orElseThrow().id(), is(home.id()));
        assertThat(choose(key(1), 0).replica(), is(second.replica()));
    }

    @ParameterizedTest
    @ValueSource(ints = {40, 200, 400})
    void shouldKeepEveryReplicaBelowTwiceTheMeanForOneHotPrefix(int requests) {
        Map<NodeId, Integer> held = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            var replica = choose(key(1), 0).replica();
            mLoads.onSent(replica.id());
            held.merge(replica.id(), 1, Integer::sum);
        }
        int most = held.values().stream().max(Integer::compare).orElseThrow();
        assertThat((double) most, lessThan(2.0 * requests / REPLICAS + 3));
    }

    @ParameterizedTest
    @ValueSource(ints = {40, 200, 400})
    void shouldIncludeADrainedDomainInTheMeanThatBoundsEveryReplica(int requests) {
        for (int i = 0; i < 3; i++) {
            change("r" + i, "south", SECOND);
        }
        drain("south");
        Map<NodeId, Integer> held = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            var replica = choose(key(1), 2 * SECOND).replica();
            mLoads.onSent(replica.id());
            held.merge(replica.id(), 1, Integer::sum);
        }
        assertThat(held.size(), is(REPLICAS - 3));
        int most = held.values().stream().max(Integer::compare).orElseThrow();
        assertThat((double) most, lessThan(2.0 * requests / REPLICAS + 3));
    }

    private void drain(String domain) {
        var record = StateRecord.set(at(1), "drain-" + domain, new byte[] {'1'});
        mView.applyBatch(
                new RecordBatch(
                        StateTopic.CONFIGURATION,
                        StorePosition.START,
                        at(2),
                        true,
                        List.of(record)),
                0);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void shouldGiveAReplicaWithFourTimesTheSlotsAboutFourTimesTheRequests(boolean shared) {
        change("r0", "ready32", SECOND);
        for (int i = 0; i < 440; i++) {
            Affinity key = shared ? key(1) : new Affinity(i * 0x9e3779b97f4a7c15L, false);
            mLoads.onSent(choose(key, 2 * SECOND).replica().id());
        }
        double share = 440.0 / (REPLICAS + 3);
        for (int i = 0; i < REPLICAS; i++) {
            double slots = i == 0 ? 4 : 1;
            int held = mLoads.inFlight(NodeId.of("r" + i), 2 * SECOND);
            assertThat((double) held, lessThan(2.0 * slots * share + 3));
        }
        int large = mLoads.inFlight(NodeId.of("r0"), 2 * SECOND);
        assertThat((double) large, greaterThan(2 * share));
    }

    @Test
    void shouldReturnTheFormerHomeOfAPrefixThatMovedToANewReplica() {
        Map<Integer, NodeId> homes = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            homes.put(i, choose(key(i), 0).replica().id());
        }
        change("new", "ready", SECOND);
        int moved = 0;
        for (int i = 0; i < 200; i++) {
            var placed = choose(key(i), 2 * SECOND);
            if (placed.replica().id().name().equals("new")) {
                moved++;
                assertThat(
                        placed.cacheHolder().map(ReplicaEntry::id), is(Optional.of(homes.get(i))));
            } else {
                assertThat(placed.cacheHolder().isPresent(), is(false));
            }
        }
        assertThat(moved, greaterThan(5));
        assertThat(choose(key(movedKey()), 60 * SECOND).cacheHolder().isPresent(), is(false));
    }

    private int movedKey() {
        for (int i = 0; i < 200; i++) {
            if (choose(key(i), 2 * SECOND).replica().id().name().equals("new")) {
                return i;
            }
        }
        throw new AssertionError("no key has moved");
    }

    @Test
    void shouldReturnALeavingReplicaOnlyAsCacheHolder() {
        var home = choose(key(1), 0).replica();
        change(home.id().name(), "leaving", SECOND);
        var placed = choose(key(1), 2 * SECOND);
        assertThat(placed.replica().id(), is(not(home.id())));
        assertThat(placed.cacheHolder().orElseThrow().id(), is(home.id()));
    }

    @Test
    void shouldSkipAReplicaThatFailsRepeatedly() {
        var home = choose(key(1), 0).replica();
        mChooser.onFailure(home, SECOND);
        mChooser.onFailure(home, SECOND);
        assertThat(choose(key(1), SECOND).replica().id(), is(not(home.id())));
    }

    @Test
    void shouldSendRequestsWithoutASharedPrefixToTheLeastLoadedReplica() {
        for (int i = 1; i < REPLICAS; i++) {
            addInFlight(NodeId.of("r" + i), 3);
        }
        assertThat(choose(new Affinity(7, false), 0).replica().id(), is(NodeId.of("r0")));
    }

    @Test
    void shouldAvoidAReplicaShortlyAfterItRefused() {
        var home = choose(key(1), 0).replica();
        mLoads.onRefused(home.id(), SECOND);
        assertThat(choose(key(1), SECOND).replica().id(), is(not(home.id())));
        assertThat(choose(key(1), 2 * SECOND).replica().id(), is(home.id()));
    }

    @Test
    void shouldReturnNothingWhenAllReplicasWereTried() {
        Set<NodeId> all = new java.util.HashSet<>();
        for (int i = 0; i < REPLICAS; i++) {
            all.add(NodeId.of("r" + i));
        }
        assertThat(mChooser.choose(POOL, key(1), all, 0).isPresent(), is(false));
    }

    /** Nodes that see the same replicas and tell one another which ones have a prefix cached. */
    private final class Nodes {
        private final List<ReplicaChooser> mChoosers = new ArrayList<>();
        private final Map<NodeId, Set<Affinity>> mCached = new HashMap<>();
        private final SplittableRandom mRandom = new SplittableRandom(3);
        private int mMissing;
        private int mFetched;
        private int mReports;

        Nodes(int nodes, Mechanisms mechanisms) {
            for (int i = 0; i < nodes; i++) {
                var chooser =
                        ReplicaChooser.create(
                                mView,
                                mLoads,
                                ReplicaNotices.create(),
                                mColdReplicaLimiter,
                                mPace,
                                mSpeeds,
                                mechanisms);
                chooser.listen(
                        new ReplicaChooser.Reports() {
                            @Override
                            public void onLoss(AgentIncarnation replica) {}

                            @Override
                            public void onHolder(long prefix, NodeId replica) {
                                mReports++;
                                mChoosers.forEach(c -> c.onReportedHolder(prefix, replica, 0));
                            }
                        });
                mChoosers.add(chooser);
            }
        }

        /** Each prefix is requested several times, at any of the nodes. */
        void ask(int prefixes, long nowNanos) {
            for (int i = 0; i < 5 * prefixes; i++) {
                ask(key(i % prefixes), nowNanos);
            }
        }

        private void ask(Affinity key, long nowNanos) {
            var chooser = mChoosers.get(mRandom.nextInt(mChoosers.size()));
            var selection = chooser.choose(POOL, key, Set.of(), nowNanos).orElseThrow();
            var chosen = selection.replica();
            boolean cached = cached(chosen.id()).contains(key);
            boolean elsewhere = mCached.values().stream().anyMatch(c -> c.contains(key));
            if (!cached && elsewhere) {
                mMissing++;
                var holder = selection.cacheHolder().map(ReplicaEntry::id);
                mFetched += holder.filter(h -> cached(h).contains(key)).isPresent() ? 1 : 0;
            }
            chooser.onPrefixSent(chosen, key, nowNanos);
            cached(chosen.id()).add(key);
        }

        private Set<Affinity> cached(NodeId replica) {
            return mCached.computeIfAbsent(replica, id -> new HashSet<>());
        }

        /** All nodes see this replica fail. */
        void eject(NodeId replica, long nowNanos) {
            var entry = mView.replica(replica).orElseThrow();
            for (var chooser : mChoosers) {
                chooser.onFailure(entry, nowNanos);
                chooser.onFailure(entry, nowNanos);
            }
        }

        double fetchedShare() {
            return (double) mFetched / mMissing;
        }
    }

    /**
     * Some replicas fail when prefixes are requested for the first time, others later. Prefixes go
     * to replicas by turns that the ranking alone does not tell.
     */
    @ParameterizedTest
    @CsvSource({"1", "26", "300"})
    void shouldNameAReplicaThatHasThePrefixWhileReplicasAreEjectedByTurns(int nodes) {
        Map<Boolean, Double> shares = new HashMap<>();
        for (boolean reports : List.of(true, false)) {
            var mechanisms = reports ? Mechanisms.all() : Mechanisms.without("prefix-holders");
            var fleet = new Nodes(nodes, mechanisms);
            for (int round = 0; round < REPLICAS; round++) {
                long now = 60L * (round + 1) * SECOND;
                fleet.eject(NodeId.of("r" + round), now);
                fleet.ask(200, now);
            }
            shares.put(reports, fleet.fetchedShare());
        }
        assertThat(shares.get(true), is(greaterThan(0.99)));
        assertThat(shares.get(false), is(lessThan(0.9)));
    }

    @Test
    void shouldReportNothingWhileEachPrefixGoesToItsFirstReplica() {
        var fleet = new Nodes(26, Mechanisms.all());
        fleet.ask(500, 60 * SECOND);
        assertThat(fleet.mReports, is(0));
    }

    @Test
    void shouldIgnoreReportsAboutUnknownReplicas() {
        assertThat(mChooser.onReportedHolder(1, NodeId.of("nobody"), 0), is(false));
        assertThat(mChooser.onReportedHolder(1, NodeId.of("r1"), 0), is(true));
        assertThat(mChooser.onReportedHolder(1, NodeId.of("r1"), 0), is(false));
    }
}
