package org.fescueport.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.micrometer.core.instrument.MockClock;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.FutureTask;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueport.internal.decision.NodeId;
import org.fescueport.internal.direct.log.EventLog;
import org.fescueport.internal.direct.state.FleetView;
import org.fescueport.internal.direct.state.RecordBatch;
import org.fescueport.internal.direct.state.StateDecoder.UnusableRecordException;
import org.fescueport.internal.direct.state.StateRecord;
import org.fescueport.internal.direct.state.StateTopic;
import org.fescueport.internal.direct.state.StorePosition;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Entries that another writer left among those of the replicas. */
class OddEntriesTest {
    private static final String FIXTURE = "org.fescueport.platform.OddEntries#";

    /** Size of the stack of the event loop of a router. */
    private static final long STACK_BYTES = 256 * 1_024;

    private static final int MUTATIONS = 3_000;
    private static final int MAX_LINE_LENGTH = 1_000;

    private final RecordDecoder mDecoder = new RecordDecoder();
    private final ByteArrayOutputStream mLines = new ByteArrayOutputStream();
    private final EventLog mLog = EventLog.start(mLines, new MockClock(), "test", 1_000);
    private final FleetView mView =
            FleetView.create(mDecoder, mLog, Duration.ofSeconds(2), Duration.ofMillis(1_200));
    private long mEnd;

    @AfterEach
    void closeLog() {
        mLog.close();
    }

    /** A task that may fail with any exception. */
    @FunctionalInterface
    private interface Check {
        void run() throws Exception;
    }

    private static void onSmallStack(Check check) throws Exception {
        var task =
                new FutureTask<Void>(
                        () -> {
                            check.run();
                            return null;
                        });
        new Thread(null, task, "small-stack", STACK_BYTES).start();
        task.get();
    }

    private StateRecord next(String key, byte[] value) {
        return StateRecord.set(StorePosition.of(0, mEnd++), key, value);
    }

    private StateRecord next(String key, String value) {
        return next(key, value.getBytes(UTF_8));
    }

    private void apply(StateRecord... records) {
        StorePosition from = records[0].position();
        mView.applyBatch(
                new RecordBatch(
                        StateTopic.REPLICAS,
                        from,
                        StorePosition.of(0, mEnd),
                        from.equals(StorePosition.START),
                        List.of(records)),
                0);
        assertThat(mView.next(StateTopic.REPLICAS), is(StorePosition.of(0, mEnd)));
    }

    private Set<NodeId> ids(String... names) {
        return Set.of(List.of(names).stream().map(NodeId::of).toArray(NodeId[]::new));
    }

    private long linesAbout(String event) {
        mLog.close();
        return mLines.toString(UTF_8).lines().filter(line -> line.contains(event)).count();
    }

    @ParameterizedTest
    @MethodSource(FIXTURE + "unusableValues")
    void shouldFollowTheEntriesAroundAnUnusableOne(byte[] odd) throws Exception {
        onSmallStack(
                () -> {
                    apply(next("a", OddEntries.good(1)), next("x", odd), next("b", good(2)));
                    assertThat(mView.replicaIds(), is(ids("a", "b")));
                    apply(next("x", odd), next("b", odd), next("c", good(3)), next("x", odd));
                    assertThat(mView.replicaIds(), is(ids("a", "c")));
                    apply(next("b", good(2)), next("a", leaving(1)), next("x", good(4)));
                    assertThat(mView.replicaIds(), is(ids("a", "b", "c", "x")));
                    assertThat(mView.replica(NodeId.of("a")).orElseThrow().leaving(), is(true));
                });
        assertThat(mView.unusableReplicas(), is(2L));
        assertThat(linesAbout("replica-unusable"), is(2L));
        mLines.toString(UTF_8)
                .lines()
                .forEach(line -> assertThat(line.length(), lessThan(MAX_LINE_LENGTH)));
    }

    @Test
    void shouldLogAnUnusableEntryOnceForEachReason() {
        String odd = good(9).replace("8080", "0");
        var odds = new StateRecord[] {next("a", good(1)), next("x", odd)};
        for (int i = 0; i < 3; i++) {
            mView.applyBatch(
                    new RecordBatch(
                            StateTopic.REPLICAS,
                            StorePosition.START,
                            StorePosition.of(0, mEnd),
                            true,
                            List.of(odds)),
                    0);
        }
        apply(next("x", odd.replace("\"seq\":4", "\"seq\":5")));
        assertThat(mView.unusableReplicas(), is(1L));
        apply(next("x", odd.replace("ready", "asleep")));
        apply(next("x", odd.replace("\"api\"", "7")));
        apply(next("x", good(9)), next("x", odd));
        apply(StateRecord.removed(StorePosition.of(0, mEnd++), "x"), next("x", odd));
        assertThat(mView.unusableReplicas(), is(4L));
        assertThat(linesAbout("replica-unusable"), is(4L));
    }

    @ParameterizedTest
    @MethodSource(FIXTURE + "unusableKeys")
    void shouldFollowTheEntriesAroundAnUnusableKey(String key) {
        apply(next("a", good(1)), next(key, good(9)), next("b", good(2)));
        assertThat(mView.replicaIds(), is(ids("a", "b")));
        apply(next(key, good(8)), next("c", good(3)));
        assertThat(mView.replicaIds(), is(ids("a", "b", "c")));
    }

    @ParameterizedTest
    @MethodSource(FIXTURE + "doubtfulValues")
    void shouldFollowTheEntriesAroundADoubtfulOne(byte[] odd) {
        apply(next("a", good(1)), next("x", odd), next("b", good(2)));
        apply(next("x", odd), next("c", good(3)));
        assertThat(mView.replicaIds().containsAll(ids("a", "b", "c")), is(true));
    }

    @Test
    void shouldFollowTheEntriesAmongThousandsOfUnusableOnes() {
        var values = OddEntries.unusableValues().map(named -> named.getPayload()).toList();
        for (int i = 0; i < 3_000; i++) {
            apply(next("x-" + i, values.get(i % values.size())), next("a-" + i % 100, good(1)));
        }
        assertThat(mView.replicaIds().size(), is(100));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void shouldFollowTheEntriesAroundMutatedOnes(long seed) throws Exception {
        var random = new Random(seed);
        onSmallStack(
                () -> {
                    for (int i = 0; i < MUTATIONS; i++) {
                        byte[] odd = OddEntries.mutated(good(9).getBytes(UTF_8), random);
                        String id = "a-" + i % 10;
                        apply(next("x", odd), next(id, i % 20 < 10 ? good(1) : leaving(1)));
                        boolean leaves = mView.replica(NodeId.of(id)).orElseThrow().leaving();
                        assertThat(leaves, is(i % 20 >= 10));
                    }
                });
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void shouldRejectMutatedConfigurationsAndNodesInOneWay(long seed) throws Exception {
        var random = new Random(seed);
        byte[] configuration = Installation.configuration(1).getBytes(UTF_8);
        byte[] node =
                "{\"address\":\"10.0.0.7:80\",\"domain\":\"north\",\"rank_era\":1,\"rank\":5}"
                        .getBytes(UTF_8);
        var unusable = new AtomicInteger();
        onSmallStack(
                () -> {
                    for (int i = 0; i < MUTATIONS; i++) {
                        byte[] oddConfiguration = OddEntries.mutated(configuration, random);
                        byte[] oddNode = OddEntries.mutated(node, random);
                        countUnusable(() -> mDecoder.configuration(oddConfiguration), unusable);
                        countUnusable(() -> mDecoder.node(oddNode), unusable);
                    }
                });
        assertThat(unusable.get(), is(org.hamcrest.Matchers.greaterThan(MUTATIONS)));
    }

    private static void countUnusable(Check check, AtomicInteger unusable) throws Exception {
        try {
            check.run();
        } catch (UnusableRecordException e) {
            unusable.incrementAndGet();
        }
    }

    @ParameterizedTest
    @MethodSource(FIXTURE + "unusableValues")
    void shouldRejectAnUnusableEntryAsConfigurationAndAsNode(byte[] odd) throws Exception {
        onSmallStack(
                () ->
                        assertThrows(
                                UnusableRecordException.class, () -> mDecoder.configuration(odd)));
        // Nodes have addresses alone in common with replicas.
        onSmallStack(() -> countUnusable(() -> mDecoder.node(odd), new AtomicInteger()));
    }

    @ParameterizedTest
    @CsvSource({
        "timeout_ms, 1500",
        "target_latency_ms, 400",
        "priority, 2",
        "max_attempts, 2",
        "max_conns, 50",
        "max_header_bytes, 16384",
        "max_body_bytes, 100000",
        "header_timeout_ms, 3000",
        "idle_timeout_ms, 15000"
    })
    void shouldRejectAConfigurationWithATooLargeNumber(String field, String good) {
        for (var number : List.of("9223372036854775807", "1e18", "1e400", "4611686018427387904")) {
            String text =
                    Installation.configuration(7)
                            .replace("\"" + field + "\":" + good, "\"" + field + "\":" + number);
            assertThrows(
                    UnusableRecordException.class,
                    () -> mDecoder.configuration(text.getBytes(UTF_8)));
        }
    }

    @Test
    void shouldKeepTheConfigurationAndTheDrainsAroundUnusableOnes() throws Exception {
        var values = OddEntries.unusableValues().map(named -> named.getPayload()).toList();
        onSmallStack(
                () -> {
                    int version = 1;
                    for (var odd : values) {
                        applyConfiguration(
                                next("config", Installation.configuration(version)),
                                next("config", odd),
                                next("evacuate/\ud800\u0000", odd),
                                next("", odd),
                                next("evacuate/", odd),
                                next("unknown", odd));
                        assertThat(mView.configurationVersion().orElseThrow(), is((long) version));
                        version++;
                    }
                });
    }

    private void applyConfiguration(StateRecord... records) {
        mView.applyBatch(
                RecordBatch.incremental(
                        StateTopic.CONFIGURATION,
                        records[0].position(),
                        StorePosition.of(0, mEnd),
                        List.of(records)),
                0);
        assertThat(mView.next(StateTopic.CONFIGURATION), is(StorePosition.of(0, mEnd)));
    }

    private static String good(int replica) {
        return OddEntries.good(replica);
    }

    private static String leaving(int replica) {
        return good(replica).replace("ready", "draining");
    }
}
