package org.fescueport.internal.direct.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import io.micrometer.core.instrument.MockClock;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.direct.log.EventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FleetViewTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    /** No request may be sent to a replica later than this after its removal was read. */
    private static final Duration MAX_USE_AFTER_REMOVAL = Duration.ofSeconds(2);

    private static final Duration HEARTBEAT = Duration.ofMillis(1_200);

    /** Interval between two sweeps for expired entries, as in the forwarder. */
    private static final Duration SWEEP = Duration.ofMillis(250);

    private final EventLog mLog =
            EventLog.start(OutputStream.nullOutputStream(), new MockClock(), "test", 10);
    private final FleetView mView =
            FleetView.create(new PlainDecoder(), mLog, MAX_USE_AFTER_REMOVAL, HEARTBEAT);

    @AfterEach
    void closeLog() {
        mLog.close();
    }

    private static StorePosition at(long offset) {
        return StorePosition.of(0, offset);
    }

    private static StateRecord record(long offset, String key, String value) {
        return StateRecord.set(at(offset), key, value.getBytes(StandardCharsets.UTF_8));
    }

    private static RecordBatch batch(StateTopic topic, long from, StateRecord... records) {
        StorePosition end = records[records.length - 1].position().plus(1);
        return new RecordBatch(topic, at(from), end, false, List.of(records));
    }

    private static RecordBatch whole(StateTopic topic, long end, StateRecord... records) {
        return new RecordBatch(topic, at(0), at(end), true, List.of(records));
    }

    private List<StateRecord> replicas(RecordBatch batch) {
        return mView.applyBatch(batch, 0);
    }

    private long version() {
        return mView.configuration().orElseThrow().version();
    }

    @Test
    void shouldBeCompleteOnceBothAreKnown() {
        assertThat(mView.isComplete(), is(false));
        replicas(whole(StateTopic.CONFIGURATION, 1, record(0, "config", "3")));
        assertThat(mView.isComplete(), is(false));
        replicas(whole(StateTopic.REPLICAS, 0));
        assertThat(mView.isComplete(), is(true));
    }

    @Test
    void shouldIgnoreOlderAndUnusableConfigurations() {
        replicas(batch(StateTopic.CONFIGURATION, 0, record(0, "config", "3")));
        replicas(batch(StateTopic.CONFIGURATION, 1, record(1, "config", "2")));
        replicas(batch(StateTopic.CONFIGURATION, 2, record(2, "config", "nonsense")));
        assertThat(version(), is(3L));
    }

    @Test
    void shouldIgnoreAnOlderRecordFromALaggingPeer() {
        replicas(whole(StateTopic.REPLICAS, 6, record(5, "a", "leaving")));
        replicas(whole(StateTopic.REPLICAS, 3, record(2, "a", "ready")));
        assertThat(mView.pool(PlainDecoder.POOL).size(), is(0));
    }

    @Test
    void shouldNotReviveARemovedReplicaFromAnOlderList() {
        replicas(whole(StateTopic.REPLICAS, 1, record(0, "a", "ready")));
        replicas(batch(StateTopic.REPLICAS, 1, StateRecord.removed(at(1), "a")));
        replicas(whole(StateTopic.REPLICAS, 1, record(0, "a", "ready")));
        assertThat(mView.pool(PlainDecoder.POOL).size(), is(0));
    }

    @Test
    void shouldRemoveReplicasMissingFromAWholeList() {
        replicas(whole(StateTopic.REPLICAS, 2, record(0, "a", "ready"), record(1, "b", "ready")));
        var news = replicas(whole(StateTopic.REPLICAS, 4, record(1, "b", "ready")));
        assertThat(mView.pool(PlainDecoder.POOL).size(), is(1));
        // The last record of the replica precedes its removal, for peers that have not received it.
        assertThat(news.stream().map(StateRecord::key).toList(), contains("a", "a"));
        assertThat(news.getFirst().position(), is(at(0)));
        assertThat(news.getLast().value().isEmpty(), is(true));
    }

    @Test
    void shouldNotRemoveReplicasMissingFromAnOlderList() {
        replicas(whole(StateTopic.REPLICAS, 5, record(4, "a", "ready")));
        replicas(whole(StateTopic.REPLICAS, 3));
        assertThat(mView.pool(PlainDecoder.POOL).size(), is(1));
    }

    @Test
    void shouldRemoveAReplicaWithAnUnusableRecordAndKeepTheOthers() {
        replicas(whole(StateTopic.REPLICAS, 2, record(0, "a", "ready"), record(1, "b", "ready")));
        replicas(batch(StateTopic.REPLICAS, 2, record(2, "a", "unusable")));
        assertThat(mView.pool(PlainDecoder.POOL).size(), is(1));
    }

    @Test
    void shouldFollowTheRecordsBehindOneOnWhichTheDecoderFails() {
        replicas(
                whole(
                        StateTopic.REPLICAS,
                        3,
                        record(0, "a", "ready"),
                        record(1, "x", PlainDecoder.FAULTY),
                        record(2, "b", "ready")));
        assertThat(mView.pool(PlainDecoder.POOL).size(), is(2));
        var batch =
                batch(
                        StateTopic.REPLICAS,
                        3,
                        record(3, "a", PlainDecoder.FAULTY),
                        record(4, "c", "ready"),
                        record(5, "b", "leaving"));
        var news = replicas(batch);
        assertThat(mView.pool(PlainDecoder.POOL).size(), is(1));
        assertThat(news.stream().map(StateRecord::key).toList(), contains("a", "a", "c", "b"));
        assertThat(mView.next(StateTopic.REPLICAS), is(at(6)));
    }

    @Test
    void shouldFollowTheConfigurationsBehindOneOnWhichTheDecoderFails() {
        replicas(
                batch(
                        StateTopic.CONFIGURATION,
                        0,
                        record(0, "config", "3"),
                        record(1, "config", PlainDecoder.FAULTY),
                        record(2, "config", "4")));
        assertThat(version(), is(4L));
        assertThat(mView.next(StateTopic.CONFIGURATION), is(at(3)));
    }

    @Test
    void shouldReturnOnlyRecordsThatChangedSomething() {
        replicas(whole(StateTopic.REPLICAS, 1, record(0, "a", "ready")));
        assertThat(replicas(batch(StateTopic.REPLICAS, 1, record(1, "a", "ready"))).size(), is(0));
        assertThat(mView.next(StateTopic.REPLICAS), is(at(2)));
        assertThat(
                replicas(batch(StateTopic.REPLICAS, 2, record(2, "a", "leaving"))).size(), is(1));
    }

    @Test
    void shouldDetectAGapBeforeABatch() {
        replicas(whole(StateTopic.REPLICAS, 1, record(0, "a", "ready")));
        assertThat(mView.canApply(batch(StateTopic.REPLICAS, 1, record(1, "a", "x"))), is(true));
        assertThat(mView.canApply(batch(StateTopic.REPLICAS, 2, record(2, "a", "x"))), is(false));
        assertThat(mView.canApply(whole(StateTopic.REPLICAS, 9)), is(true));
    }

    @Test
    void shouldKeepAReplicaRemovedAroundAnOutageUntilItsHeartbeatIsOverdue() {
        replicas(whole(StateTopic.REPLICAS, 1, record(0, "a", "ready")));
        mView.onNewEra(0);
        replicas(batch(StateTopic.REPLICAS, 1, StateRecord.removed(at(1), "a")));
        mView.expire(SECOND);
        assertThat(mView.pool(PlainDecoder.POOL).size(), is(1));
        mView.expire(3 * SECOND);
        assertThat(mView.pool(PlainDecoder.POOL).size(), is(0));
    }

    @ParameterizedTest
    @ValueSource(longs = {2_000, 2_500, 3_000})
    void shouldNotUseAReplicaRemovedDuringRecoveryLongerThanTheBound(long boundMs) {
        var view =
                FleetView.create(new PlainDecoder(), mLog, Duration.ofMillis(boundMs), HEARTBEAT);
        view.applyBatch(
                whole(StateTopic.REPLICAS, 2, record(0, "a", "ready"), record(1, "b", "ready")), 0);
        view.onNewEra(0);
        view.applyBatch(batch(StateTopic.REPLICAS, 2, StateRecord.removed(at(2), "a")), 0);
        long last = Duration.ofMillis(boundMs).toNanos();
        for (long now = 0; now < last; now += SWEEP.toNanos()) {
            view.expire(now);
        }
        assertThat(view.replica(NodeId.of("a")).isPresent(), is(false));
        assertThat(view.pool(PlainDecoder.POOL).size(), is(1));
    }

    @Test
    void shouldNotUseARemovedReplicaLongerWhenAPeerSawTheRecoveryLater() {
        replicas(whole(StateTopic.REPLICAS, 1, record(0, "a", "ready")));
        mView.onNewEra(0);
        replicas(batch(StateTopic.REPLICAS, 1, StateRecord.removed(at(1), "a")));
        mView.onRecordsFromPeer(SECOND);
        mView.expire(MAX_USE_AFTER_REMOVAL.minus(SWEEP).toNanos());
        assertThat(mView.replica(NodeId.of("a")).isPresent(), is(false));
    }

    @Test
    void shouldDropARemovedReplicaAtOnceWhereNoEntryCanHaveExpired() {
        replicas(whole(StateTopic.REPLICAS, 1, record(0, "a", "ready")));
        long longest = HEARTBEAT.toNanos() * 3 / 2;
        for (int i = 0; i < 5; i++) {
            mView.onStoreContact(i * longest);
            mView.onRecordsFromPeer((i + 1) * longest);
        }
        assertThat(mView.removalGrace(5 * longest), is(Duration.ZERO));
        replicas(batch(StateTopic.REPLICAS, 1, StateRecord.removed(at(1), "a")));
        assertThat(mView.replica(NodeId.of("a")).isPresent(), is(false));
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void shouldKeepAReplicaRemovedAfterALongTimeWithoutContact(boolean fromPeer) {
        replicas(whole(StateTopic.REPLICAS, 1, record(0, "a", "ready")));
        mView.onStoreContact(0);
        long now = 2 * HEARTBEAT.toNanos();
        if (fromPeer) {
            mView.onRecordsFromPeer(now);
        } else {
            mView.onStoreContact(now);
        }
        mView.applyBatch(batch(StateTopic.REPLICAS, 1, StateRecord.removed(at(1), "a")), now);
        assertThat(mView.replica(NodeId.of("a")).isPresent(), is(true));
        mView.expire(now + MAX_USE_AFTER_REMOVAL.toNanos());
        assertThat(mView.replica(NodeId.of("a")).isPresent(), is(false));
    }

    @Test
    void shouldNotStartTheGracePeriodWithTheFirstContact() {
        mView.onStoreContact(Duration.ofDays(1).toNanos());
        assertThat(mView.removalGrace(Duration.ofDays(1).toNanos()), is(Duration.ZERO));
    }

    @Test
    void shouldKeepAReplicaThatRegistersAgainAfterItsRemoval() {
        replicas(whole(StateTopic.REPLICAS, 1, record(0, "a", "ready")));
        mView.onNewEra(0);
        replicas(batch(StateTopic.REPLICAS, 1, StateRecord.removed(at(1), "a")));
        replicas(batch(StateTopic.REPLICAS, 2, record(2, "a", "ready")));
        mView.expire(3 * SECOND);
        assertThat(mView.pool(PlainDecoder.POOL).size(), is(1));
    }

    @Test
    void shouldNotKeepALeavingReplicaAfterItsRemoval() {
        replicas(whole(StateTopic.REPLICAS, 1, record(0, "a", "leaving")));
        mView.onNewEra(0);
        replicas(batch(StateTopic.REPLICAS, 1, StateRecord.removed(at(1), "a")));
        assertThat(mView.replica(NodeId.of("a")).isPresent(), is(false));
    }

    @Test
    void shouldReturnOnlyTheChangesSinceAKnownPosition() {
        replicas(whole(StateTopic.REPLICAS, 4, record(1, "a", "ready"), record(3, "b", "ready")));
        replicas(batch(StateTopic.REPLICAS, 4, record(4, "a", "ready"), record(5, "b", "ready")));
        replicas(batch(StateTopic.REPLICAS, 6, record(6, "c", "ready")));
        replicas(batch(StateTopic.REPLICAS, 7, StateRecord.removed(at(7), "b")));
        var changes = mView.replicasSince(at(4));
        assertThat(changes.whole(), is(false));
        assertThat(changes.from(), is(at(4)));
        assertThat(changes.end(), is(at(8)));
        assertThat(
                changes.records().stream().map(StateRecord::key).toList(), contains("b", "c", "b"));
        assertThat(changes.records().getLast().value().isEmpty(), is(true));
    }

    @Test
    void shouldReturnASnapshotForAPositionBeforeItsFirstRead() {
        replicas(whole(StateTopic.REPLICAS, 4, record(1, "a", "ready")));
        assertThat(mView.replicasSince(at(3)).whole(), is(true));
        assertThat(mView.replicasSince(at(0)).whole(), is(true));
        assertThat(mView.replicasSince(at(4)).whole(), is(false));
    }

    @Test
    void shouldSendAPeerTheRemovalOfAReplicaThatIsStillInUse() {
        replicas(whole(StateTopic.REPLICAS, 1, record(0, "a", "ready")));
        mView.onNewEra(0);
        replicas(batch(StateTopic.REPLICAS, 1, StateRecord.removed(at(1), "a")));
        assertThat(mView.pool(PlainDecoder.POOL).size(), is(1));
        var changes = mView.replicasSince(at(1)).records();
        assertThat(changes.getFirst().value().isEmpty(), is(false));
        assertThat(changes.getLast().value().isEmpty(), is(true));
    }

    @Test
    void shouldIncludeEveryKnownReplicaInTheSnapshot() {
        replicas(whole(StateTopic.REPLICAS, 7, record(3, "a", "ready"), record(6, "b", "leaving")));
        var other = FleetView.create(new PlainDecoder(), mLog, MAX_USE_AFTER_REMOVAL, HEARTBEAT);
        other.applyBatch(mView.snapshot(StateTopic.REPLICAS), 0);
        assertThat(other.next(StateTopic.REPLICAS), is(at(7)));
        assertThat(other.pool(PlainDecoder.POOL).size(), is(1));
        assertThat(other.replica(NodeId.of("b")).orElseThrow().leaving(), is(true));
    }
}
