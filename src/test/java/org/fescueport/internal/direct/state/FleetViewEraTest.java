package org.fescueport.internal.direct.state;

import static org.hamcrest.MatcherAssert.assertThat;
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

/**
 * In these tests a replica's record is "ready" or "leaving", its heartbeat number and its
 * incarnation.
 */
class FleetViewEraTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final Duration MAX_USE_AFTER_REMOVAL = Duration.ofSeconds(2);
    private static final Duration HEARTBEAT = Duration.ofMillis(1_200);

    private final EventLog mLog =
            EventLog.start(OutputStream.nullOutputStream(), new MockClock(), "test", 10);
    private final FleetView mView = newView();

    private FleetView newView() {
        return FleetView.create(new HeartbeatDecoder(), mLog, MAX_USE_AFTER_REMOVAL, HEARTBEAT);
    }

    @AfterEach
    void closeLog() {
        mLog.close();
    }

    private static StateRecord record(long era, long offset, String key, String value) {
        var position = StorePosition.of(era, offset);
        return StateRecord.set(position, key, value.getBytes(StandardCharsets.UTF_8));
    }

    private static StateRecord removed(long era, long offset, String key) {
        return StateRecord.removed(StorePosition.of(era, offset), key);
    }

    private static RecordBatch whole(long era, long end, StateRecord... records) {
        return new RecordBatch(
                StateTopic.REPLICAS,
                StorePosition.START,
                StorePosition.of(era, end),
                true,
                List.of(records));
    }

    private static RecordBatch following(StateRecord record) {
        var end = record.position().plus(1);
        return RecordBatch.incremental(
                StateTopic.REPLICAS, record.position(), end, List.of(record));
    }

    private void applyBatch(RecordBatch batch) {
        mView.applyBatch(batch, 0);
    }

    /** Restores the store from a backup; the node has noticed it. */
    private void restoreStore(RecordBatch list) {
        mView.onNewEra(0);
        applyBatch(list);
    }

    private boolean isUsed(String key) {
        return isUsed(mView, key);
    }

    private static boolean isUsed(FleetView view, String key) {
        return view.replica(NodeId.of(key)).filter(entry -> !entry.leaving()).isPresent();
    }

    @Test
    void shouldApplyRecordsOfANewEraWhoseOffsetsAreLower() {
        applyBatch(whole(1, 900, record(1, 899, "a", "ready 50 7")));
        restoreStore(whole(2, 40, record(2, 39, "a", "ready 48 7")));
        applyBatch(following(record(2, 40, "a", "leaving 51 7")));
        assertThat(isUsed("a"), is(false));
    }

    @Test
    void shouldUseANewReplicaOfTheNewEraAtOnce() {
        applyBatch(whole(1, 900, record(1, 899, "a", "ready 50 7")));
        restoreStore(
                whole(2, 41, record(2, 39, "a", "ready 48 7"), record(2, 40, "b", "ready 1 9")));
        assertThat(isUsed("b"), is(true));
    }

    @ParameterizedTest
    @ValueSource(ints = {40, 59, 60})
    void shouldNotReviveADepartedReplicaThatTheCopyStillLists(int beat) {
        applyBatch(whole(1, 5, record(1, 4, "a", "ready 60 7")));
        applyBatch(following(removed(1, 5, "a")));
        restoreStore(whole(2, 4, record(2, 3, "a", "ready " + beat + " 7")));
        assertThat(isUsed("a"), is(false));
        applyBatch(following(record(2, 4, "a", "ready " + beat + " 7")));
        assertThat(isUsed("a"), is(false));
    }

    @Test
    void shouldUseADepartedReplicaAgainAfterANewerHeartbeat() {
        applyBatch(whole(1, 5, record(1, 4, "a", "ready 60 7")));
        applyBatch(following(removed(1, 5, "a")));
        restoreStore(whole(2, 4, record(2, 3, "a", "ready 58 7")));
        applyBatch(following(record(2, 4, "a", "ready 61 7")));
        assertThat(isUsed("a"), is(true));
    }

    @Test
    void shouldUseANewIncarnationOfADepartedReplica() {
        applyBatch(whole(1, 5, record(1, 4, "a", "ready 60 7")));
        applyBatch(following(removed(1, 5, "a")));
        restoreStore(whole(2, 4, record(2, 3, "a", "ready 1 8")));
        assertThat(isUsed("a"), is(true));
    }

    @Test
    void shouldNotReviveAnEarlierIncarnation() {
        applyBatch(whole(1, 5, record(1, 4, "a", "leaving 2 8")));
        restoreStore(whole(2, 4, record(2, 3, "a", "ready 900 7")));
        assertThat(isUsed("a"), is(false));
    }

    @Test
    void shouldNotUseALeavingReplicaThatTheCopyListsAsReady() {
        applyBatch(whole(1, 5, record(1, 4, "a", "leaving 60 7")));
        restoreStore(whole(2, 4, record(2, 3, "a", "ready 57 7")));
        assertThat(isUsed("a"), is(false));
        applyBatch(following(record(2, 4, "a", "leaving 61 7")));
        applyBatch(following(removed(2, 5, "a")));
        assertThat(mView.replica(NodeId.of("a")).isPresent(), is(false));
    }

    @Test
    void shouldUseAReplicaMissingFromTheCopyUntilItsHeartbeatIsOverdue() {
        applyBatch(whole(1, 5, record(1, 4, "a", "ready 1 7")));
        restoreStore(whole(2, 2));
        mView.expire(SECOND);
        assertThat(isUsed("a"), is(true));
        mView.expire(2 * SECOND);
        assertThat(isUsed("a"), is(false));
    }

    @Test
    void shouldKeepAReplicaMissingFromTheCopyOnceItIsWrittenAgain() {
        applyBatch(whole(1, 5, record(1, 4, "a", "ready 1 7")));
        restoreStore(whole(2, 2));
        applyBatch(following(record(2, 2, "a", "ready 1 7")));
        mView.expire(3 * SECOND);
        assertThat(isUsed("a"), is(true));
    }

    @Test
    void shouldIgnoreRecordsFromAPeerOfAnEarlierEra() {
        restoreStore(whole(2, 3, record(2, 2, "a", "ready 4 7")));
        applyBatch(following(record(1, 900, "b", "ready 1 7")));
        assertThat(isUsed("b"), is(false));
        assertThat(mView.next(StateTopic.REPLICAS), is(StorePosition.of(2, 3)));
    }

    @Test
    void shouldSendAPeerTheLastRecordOfAReplicaWithItsRemoval() {
        var peer = newView();
        applyBatch(whole(1, 5, record(1, 4, "a", "ready 1 7")));
        peer.applyBatch(mView.snapshot(StateTopic.REPLICAS), 0);
        // Heartbeats are not passed on to the peer.
        applyBatch(following(record(1, 5, "a", "ready 60 7")));
        applyBatch(following(removed(1, 6, "a")));
        peer.applyBatch(mView.replicasSince(peer.next(StateTopic.REPLICAS)), 0);
        peer.onNewEra(0);
        peer.applyBatch(whole(2, 4, record(2, 3, "a", "ready 40 7")), 0);
        assertThat(isUsed(peer, "a"), is(false));
    }

    @Test
    void shouldBringAPeerOfAnEarlierEraToTheNewOne() {
        var peer = newView();
        applyBatch(whole(1, 9, record(1, 4, "a", "ready 1 7"), record(1, 8, "b", "ready 1 7")));
        peer.applyBatch(mView.snapshot(StateTopic.REPLICAS), 0);
        restoreStore(whole(2, 6, record(2, 4, "a", "ready 1 7"), record(2, 5, "c", "ready 1 7")));
        peer.onNewEra(0);
        peer.applyBatch(mView.replicasSince(peer.next(StateTopic.REPLICAS)), 0);
        assertThat(isUsed(peer, "c"), is(true));
        assertThat(isUsed(peer, "b"), is(true));
        peer.expire(2 * SECOND);
        assertThat(isUsed(peer, "b"), is(false));
        assertThat(peer.next(StateTopic.REPLICAS), is(StorePosition.of(2, 6)));
    }

    private static RecordBatch listed(long era, long end, StateRecord... records) {
        return new RecordBatch(
                StateTopic.CONFIGURATION,
                StorePosition.START,
                StorePosition.of(era, end),
                true,
                List.of(records));
    }

    private boolean isAvailable() {
        return mView.pool(PlainDecoder.POOL).size() == 1;
    }

    @Test
    void shouldNotUseADrainedDomainUntilTheDrainIsRemoved() {
        applyBatch(whole(1, 5, record(1, 4, "a", "ready 1 7")));
        mView.applyBatch(listed(1, 1, record(1, 0, "drain-south", "{}")), 0);
        assertThat(isAvailable(), is(true));
        mView.applyBatch(listed(1, 2, record(1, 1, "drain-north", "{}")), 0);
        assertThat(isAvailable(), is(false));
        assertThat(mView.cacheHolders(PlainDecoder.POOL).size(), is(1));
        var back = removed(1, 2, "drain-north");
        mView.applyBatch(
                RecordBatch.incremental(
                        StateTopic.CONFIGURATION,
                        back.position(),
                        back.position().plus(1),
                        List.of(back)),
                0);
        assertThat(isAvailable(), is(true));
    }

    @Test
    void shouldEndADrainThatAWholeListNoLongerContains() {
        applyBatch(whole(1, 5, record(1, 4, "a", "ready 1 7")));
        mView.applyBatch(listed(1, 2, record(1, 1, "drain-north", "{}")), 0);
        mView.applyBatch(listed(1, 9), 0);
        assertThat(isAvailable(), is(true));
    }

    @Test
    void shouldKeepADrainMissingFromTheCopyUntilTheOperatorHadTimeToRepeatIt() {
        applyBatch(whole(1, 5, record(1, 4, "a", "ready 1 7")));
        mView.applyBatch(listed(1, 2, record(1, 1, "drain-north", "{}")), 0);
        mView.applyBatch(listed(2, 1), 0);
        assertThat(isAvailable(), is(false));
        mView.expire(SECOND);
        assertThat(isAvailable(), is(false));
        mView.expire(3 * SECOND);
        assertThat(isAvailable(), is(true));
    }

    @Test
    void shouldKeepADrainThatTheOperatorRepeatsAfterTheRestore() {
        applyBatch(whole(1, 5, record(1, 4, "a", "ready 1 7")));
        mView.applyBatch(listed(1, 2, record(1, 1, "drain-north", "{}")), 0);
        mView.applyBatch(listed(2, 1), 0);
        mView.applyBatch(listed(2, 2, record(2, 1, "drain-north", "{}")), 0);
        mView.expire(3 * SECOND);
        assertThat(isAvailable(), is(false));
    }

    @Test
    void shouldSendDrainedDomainsToAPeer() {
        var peer = newView();
        applyBatch(whole(1, 5, record(1, 4, "a", "ready 1 7")));
        mView.applyBatch(listed(1, 2, record(1, 1, "drain-north", "{}")), 0);
        assertThat(peer.drainedEnd().isBefore(mView.drainedEnd()), is(true));
        peer.applyBatch(mView.snapshot(StateTopic.REPLICAS), 0);
        peer.applyBatch(mView.snapshot(StateTopic.CONFIGURATION), 0);
        assertThat(peer.pool(PlainDecoder.POOL).size(), is(0));
        assertThat(peer.drainedEnd(), is(mView.drainedEnd()));
    }

    @Test
    void shouldNotRevertToAnOlderConfigurationFromTheCopy() {
        mView.applyBatch(configuration(1, 7, "12"), 0);
        mView.applyBatch(configuration(2, 3, "11"), 0);
        assertThat(mView.configurationVersion().getAsLong(), is(12L));
        mView.applyBatch(configuration(2, 4, "13"), 0);
        assertThat(mView.configurationVersion().getAsLong(), is(13L));
    }

    private static RecordBatch configuration(long era, long offset, String version) {
        var record = record(era, offset, "config", version);
        return new RecordBatch(
                StateTopic.CONFIGURATION,
                StorePosition.START,
                record.position().plus(1),
                true,
                List.of(record));
    }
}
