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

/** A replica is written as "ready" or "leaving", the count of its word and its life. */
class FleetViewEraTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final Duration LEAVE_BOUND = Duration.ofSeconds(2);

    private final EventLog mLog =
            EventLog.start(OutputStream.nullOutputStream(), new MockClock(), "test", 10);
    private final FleetView mView = newView();

    private FleetView newView() {
        return FleetView.create(new WordDecoder(), mLog, LEAVE_BOUND);
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
        return RecordBatch.news(StateTopic.REPLICAS, record.position(), end, List.of(record));
    }

    private void take(RecordBatch batch) {
        mView.take(batch, 0);
    }

    /** The store comes back from a copy, which the node has noticed. */
    private void comeBack(RecordBatch list) {
        mView.onStoreRegained(0);
        take(list);
    }

    private boolean isUsed(String key) {
        return isUsed(mView, key);
    }

    private static boolean isUsed(FleetView view, String key) {
        return view.replica(NodeId.of(key)).filter(entry -> !entry.leaving()).isPresent();
    }

    @Test
    void shouldTakeEntriesThatAreWrittenAgainBelowTheOffsetThatItHad() {
        take(whole(1, 900, record(1, 899, "a", "ready 50 7")));
        comeBack(whole(2, 40, record(2, 39, "a", "ready 48 7")));
        take(following(record(2, 40, "a", "leaving 51 7")));
        assertThat(isUsed("a"), is(false));
    }

    @Test
    void shouldUseANewReplicaOfTheNewEraAtOnce() {
        take(whole(1, 900, record(1, 899, "a", "ready 50 7")));
        comeBack(whole(2, 41, record(2, 39, "a", "ready 48 7"), record(2, 40, "b", "ready 1 9")));
        assertThat(isUsed("b"), is(true));
    }

    @ParameterizedTest
    @ValueSource(ints = {40, 59, 60})
    void shouldKeepADepartedReplicaGoneWhenTheCopyStillHasItsEntry(int beat) {
        take(whole(1, 5, record(1, 4, "a", "ready 60 7")));
        take(following(removed(1, 5, "a")));
        comeBack(whole(2, 4, record(2, 3, "a", "ready " + beat + " 7")));
        assertThat(isUsed("a"), is(false));
        take(following(record(2, 4, "a", "ready " + beat + " 7")));
        assertThat(isUsed("a"), is(false));
    }

    @Test
    void shouldUseAReplicaAgainThatSpeaksAnewAfterItWasTakenForGone() {
        take(whole(1, 5, record(1, 4, "a", "ready 60 7")));
        take(following(removed(1, 5, "a")));
        comeBack(whole(2, 4, record(2, 3, "a", "ready 58 7")));
        take(following(record(2, 4, "a", "ready 61 7")));
        assertThat(isUsed("a"), is(true));
    }

    @Test
    void shouldUseANewLifeUnderAnIdThatWasGone() {
        take(whole(1, 5, record(1, 4, "a", "ready 60 7")));
        take(following(removed(1, 5, "a")));
        comeBack(whole(2, 4, record(2, 3, "a", "ready 1 8")));
        assertThat(isUsed("a"), is(true));
    }

    @Test
    void shouldNotBringBackAFormerLife() {
        take(whole(1, 5, record(1, 4, "a", "leaving 2 8")));
        comeBack(whole(2, 4, record(2, 3, "a", "ready 900 7")));
        assertThat(isUsed("a"), is(false));
    }

    @Test
    void shouldNotUseALeavingReplicaThatTheCopyCallsReady() {
        take(whole(1, 5, record(1, 4, "a", "leaving 60 7")));
        comeBack(whole(2, 4, record(2, 3, "a", "ready 57 7")));
        assertThat(isUsed("a"), is(false));
        take(following(record(2, 4, "a", "leaving 61 7")));
        take(following(removed(2, 5, "a")));
        assertThat(mView.replica(NodeId.of("a")).isPresent(), is(false));
    }

    @Test
    void shouldUseAReplicaThatTheCopyLacksUntilItsHeartbeatHadTime() {
        take(whole(1, 5, record(1, 4, "a", "ready 1 7")));
        comeBack(whole(2, 2));
        mView.expire(SECOND);
        assertThat(isUsed("a"), is(true));
        mView.expire(2 * SECOND);
        assertThat(isUsed("a"), is(false));
    }

    @Test
    void shouldKeepAReplicaThatTheCopyLacksAndThatIsWrittenAgain() {
        take(whole(1, 5, record(1, 4, "a", "ready 1 7")));
        comeBack(whole(2, 2));
        take(following(record(2, 2, "a", "ready 1 7")));
        mView.expire(3 * SECOND);
        assertThat(isUsed("a"), is(true));
    }

    @Test
    void shouldDropWhatAPeerOfAFormerEraTells() {
        comeBack(whole(2, 3, record(2, 2, "a", "ready 4 7")));
        take(following(record(1, 900, "b", "ready 1 7")));
        assertThat(isUsed("b"), is(false));
        assertThat(mView.next(StateTopic.REPLICAS), is(StorePosition.of(2, 3)));
    }

    @Test
    void shouldTellAPeerTheLastWordOfAReplicaWithItsRemoval() {
        var peer = newView();
        take(whole(1, 5, record(1, 4, "a", "ready 1 7")));
        peer.take(mView.snapshot(StateTopic.REPLICAS), 0);
        // The peer is not told of heartbeats.
        take(following(record(1, 5, "a", "ready 60 7")));
        take(following(removed(1, 6, "a")));
        peer.take(mView.replicasSince(peer.next(StateTopic.REPLICAS)), 0);
        peer.onStoreRegained(0);
        peer.take(whole(2, 4, record(2, 3, "a", "ready 40 7")), 0);
        assertThat(isUsed(peer, "a"), is(false));
    }

    @Test
    void shouldBringAPeerOfAFormerEraToTheNewOne() {
        var peer = newView();
        take(whole(1, 9, record(1, 4, "a", "ready 1 7"), record(1, 8, "b", "ready 1 7")));
        peer.take(mView.snapshot(StateTopic.REPLICAS), 0);
        comeBack(whole(2, 6, record(2, 4, "a", "ready 1 7"), record(2, 5, "c", "ready 1 7")));
        peer.onLapseGrace(mView.lapseGrace(0), 0);
        peer.take(mView.replicasSince(peer.next(StateTopic.REPLICAS)), 0);
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

    private boolean takesWork() {
        return mView.pool(PlainDecoder.POOL).size() == 1;
    }

    @Test
    void shouldSendNothingToADrainedDomainUntilItIsTakenBack() {
        take(whole(1, 5, record(1, 4, "a", "ready 1 7")));
        mView.take(listed(1, 1, record(1, 0, "drain-south", "{}")), 0);
        assertThat(takesWork(), is(true));
        mView.take(listed(1, 2, record(1, 1, "drain-north", "{}")), 0);
        assertThat(takesWork(), is(false));
        assertThat(mView.cacheHolders(PlainDecoder.POOL).size(), is(1));
        var back = removed(1, 2, "drain-north");
        mView.take(
                RecordBatch.news(
                        StateTopic.CONFIGURATION,
                        back.position(),
                        back.position().plus(1),
                        List.of(back)),
                0);
        assertThat(takesWork(), is(true));
    }

    @Test
    void shouldUseADomainAgainThatAWholeListDoesNotNameAnyMore() {
        take(whole(1, 5, record(1, 4, "a", "ready 1 7")));
        mView.take(listed(1, 2, record(1, 1, "drain-north", "{}")), 0);
        mView.take(listed(1, 9), 0);
        assertThat(takesWork(), is(true));
    }

    @Test
    void shouldKeepADomainDrainedThatACopyLacksUntilTheOperatorHadTime() {
        take(whole(1, 5, record(1, 4, "a", "ready 1 7")));
        mView.take(listed(1, 2, record(1, 1, "drain-north", "{}")), 0);
        mView.take(listed(2, 1), 0);
        assertThat(takesWork(), is(false));
        mView.expire(SECOND);
        assertThat(takesWork(), is(false));
        mView.expire(3 * SECOND);
        assertThat(takesWork(), is(true));
    }

    @Test
    void shouldKeepADomainDrainedThatTheOperatorNamesAgainAfterTheCopy() {
        take(whole(1, 5, record(1, 4, "a", "ready 1 7")));
        mView.take(listed(1, 2, record(1, 1, "drain-north", "{}")), 0);
        mView.take(listed(2, 1), 0);
        mView.take(listed(2, 2, record(2, 1, "drain-north", "{}")), 0);
        mView.expire(3 * SECOND);
        assertThat(takesWork(), is(false));
    }

    @Test
    void shouldTellAPeerOfDrainedDomains() {
        var peer = newView();
        take(whole(1, 5, record(1, 4, "a", "ready 1 7")));
        mView.take(listed(1, 2, record(1, 1, "drain-north", "{}")), 0);
        assertThat(peer.drainedEnd().isBefore(mView.drainedEnd()), is(true));
        peer.take(mView.snapshot(StateTopic.REPLICAS), 0);
        peer.take(mView.snapshot(StateTopic.CONFIGURATION), 0);
        assertThat(peer.pool(PlainDecoder.POOL).size(), is(0));
        assertThat(peer.drainedEnd(), is(mView.drainedEnd()));
    }

    @Test
    void shouldNotGoBackToAConfigurationOfTheCopy() {
        mView.take(configuration(1, 7, "12"), 0);
        mView.take(configuration(2, 3, "11"), 0);
        assertThat(mView.configurationVersion().getAsLong(), is(12L));
        mView.take(configuration(2, 4, "13"), 0);
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
