package org.fescueport.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.micrometer.core.instrument.Clock;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.direct.log.EventLog;
import org.fescueport.internal.direct.state.EraTracker;
import org.fescueport.internal.direct.state.NodeRecord;
import org.fescueport.internal.direct.state.StateRecord;
import org.fescueport.internal.direct.state.StateStore.Page;
import org.fescueport.internal.direct.state.StateTopic;
import org.fescueport.internal.direct.state.StoreException;
import org.fescueport.internal.direct.state.StorePosition;
import org.fescueport.platform.StoreStandIn.Mode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class LogStoreTest {
    private static final int QUIET_MS = 10;
    private static final int STOP_LIMIT_MS = 1_000;

    private MultiThreadIoEventLoopGroup mLoop;
    private StoreStandIn mStandIn;
    private static final FailureDomain DOMAIN = FailureDomain.of("north");

    private LogStore mStore;
    private EraTracker mEras;
    private final EventLog mLog =
            EventLog.start(OutputStream.nullOutputStream(), Clock.SYSTEM, "test", 10);

    @BeforeEach
    void start() throws Exception {
        mLoop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        mStandIn = StoreStandIn.start();
        mEras = EraTracker.create(Clock.SYSTEM, mLog);
        mStore = LogStore.at(mStandIn.address(), mLoop, mEras);
    }

    @AfterEach
    void stop() throws Exception {
        mStandIn.close();
        mLog.close();
        mLoop.shutdownGracefully(QUIET_MS, STOP_LIMIT_MS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly();
    }

    /** Makes the call on the event loop, as the store requires, and waits for its result. */
    private <T> T await(Supplier<CompletableFuture<T>> call) throws Exception {
        return CompletableFuture.supplyAsync(call, mLoop).thenCompose(f -> f).get();
    }

    private StoreException failure(Supplier<CompletableFuture<Page>> call) {
        var thrown = assertThrows(ExecutionException.class, () -> await(call));
        return (StoreException) thrown.getCause();
    }

    private static StorePosition at(long offset) {
        return StorePosition.of(0, offset);
    }

    private Page read(long from) throws Exception {
        return await(() -> mStore.read(StateTopic.REPLICAS, at(from), Duration.ZERO));
    }

    @Test
    void shouldReadTheNewestRecordOfEachKey() throws Exception {
        mStandIn.put("keyed.servers", "a", "1");
        mStandIn.put("keyed.servers", "b", "2");
        mStandIn.put("keyed.servers", "a", "3");
        mStandIn.remove("keyed.servers", "b");
        var page = await(() -> mStore.newest(StateTopic.REPLICAS));
        assertThat(page.end(), is(at(4)));
        assertThat(page.records().size(), is(1));
        assertThat(page.records().getFirst().position(), is(at(2)));
        assertThat(new String(page.records().getFirst().value().orElseThrow()), is("3"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"x-\udcff", "x-\ufffd", "\ud800"})
    void shouldReadAllPagesAroundKeysThatCannotBeNamedInACall(String odd) throws Exception {
        for (var key : List.of("a", odd, odd + odd, "b", "c", odd + "c", "d")) {
            mStandIn.put("keyed.servers", key, "1");
        }
        mStandIn.pages(4, 0);
        var page = await(() -> mStore.newest(StateTopic.REPLICAS));
        var keys = page.records().stream().map(StateRecord::key).collect(Collectors.toSet());
        assertThat(keys, is(Set.of("a", odd, odd + odd, "b", "c", odd + "c", "d")));
    }

    /** Guards against raw bytes of one key that make the records of all others unreadable. */
    @ParameterizedTest
    @ValueSource(strings = {"x\u00ff", "\u00c3", "\u0080\u0080", "\u00ed\u00a0\u0080"})
    void shouldReadARecordBesideAKeyOfRawBytesThatAreNotUtf8(String odd) throws Exception {
        String page =
                "{\"items\":[{\"key\":\"%s\",\"value\":\"MQ==\",\"offset\":0},"
                        + "{\"key\":\"a\",\"value\":\"Mg==\",\"offset\":1}],\"end\":2}";
        byte[] body = page.formatted(odd).getBytes(StandardCharsets.ISO_8859_1);
        try (var server = RawServer.start((request, wire) -> wire.answer(200, "", body))) {
            mStore = LogStore.at(server.address(), mLoop, mEras);
            var records = await(() -> mStore.newest(StateTopic.REPLICAS)).records();
            assertThat(records.size(), is(2));
            assertThat(records.getLast().key(), is("a"));
            assertThat(new String(records.getLast().value().orElseThrow()), is("2"));
        }
    }

    @Test
    void shouldReportAPageWithoutAKeyThatCanBeNamedInACall() {
        mStandIn.put("keyed.servers", "x-\udcff", "1");
        mStandIn.put("keyed.servers", "a", "1");
        mStandIn.pages(1, 0);
        var failure = failure(() -> mStore.newest(StateTopic.REPLICAS));
        assertThat(failure.reason(), is(StoreException.Cause.UNREADABLE));
    }

    @Test
    void shouldReadRecordsFromAnOffsetOn() throws Exception {
        mStandIn.put("keyed.servers", "a", "1");
        mStandIn.put("keyed.servers", "a", "2");
        mStandIn.remove("keyed.servers", "a");
        var page = read(1);
        assertThat(page.end(), is(at(3)));
        assertThat(page.records().size(), is(2));
        assertThat(page.records().getLast().value().isEmpty(), is(true));
    }

    @Test
    void shouldWaitForARecord() throws Exception {
        var call =
                CompletableFuture.supplyAsync(
                                () ->
                                        mStore.read(
                                                StateTopic.CONFIGURATION,
                                                at(0),
                                                Duration.ofSeconds(5)),
                                mLoop)
                        .thenCompose(f -> f);
        Await.pause(100);
        mStandIn.put("keyed.op", "config", "{}");
        assertThat(call.get().records().size(), is(1));
    }

    @Test
    void shouldReportExpiredRecords() {
        mStandIn.put("keyed.servers", "a", "1");
        mStandIn.compact("keyed.servers");
        var failure = failure(() -> mStore.read(StateTopic.REPLICAS, at(0), Duration.ZERO));
        assertThat(failure.reason(), is(StoreException.Cause.HISTORY_GONE));
    }

    @ParameterizedTest
    @CsvSource({
        "BUSY, TURNED_AWAY",
        "MANY, TURNED_AWAY",
        "RESET, UNANSWERED",
        "SILENT, UNANSWERED",
        "GARBAGE, UNREADABLE"
    })
    void shouldReportCauseOfFailedCall(Mode mode, StoreException.Cause cause) throws Exception {
        mStandIn.mode(mode);
        long begun = System.nanoTime();
        var newest = failure(() -> mStore.newest(StateTopic.REPLICAS));
        assertThat(newest.reason(), is(cause));
        assertThat((System.nanoTime() - begun) / 1_000_000, lessThan(1_500L));
        mStandIn.mode(Mode.GOOD);
        assertThat(read(0).end(), is(at(0)));
    }

    @Test
    void shouldReportRefusedConnection() throws Exception {
        var gone = new InetSocketAddress(mStandIn.address().getAddress(), 1);
        var store = LogStore.at(gone, mLoop, mEras);
        var failure = failure(() -> store.newest(StateTopic.REPLICAS));
        assertThat(failure.reason(), is(StoreException.Cause.TURNED_AWAY));
    }

    @Test
    void shouldAnnounceANode() throws Exception {
        var address = Addresses.parse("10.0.0.7:8229");
        var first = await(() -> mStore.registerNode("edge-1", NodeRecord.first(address, DOMAIN)));
        var second = await(() -> mStore.registerNode("edge-2", NodeRecord.first(address, DOMAIN)));
        assertThat(second, is(first.plus(1)));
        var page = await(() -> mStore.newest(StateTopic.NODES));
        assertThat(page.records().size(), is(2));
    }

    @Test
    void shouldReportUnansweredIfTheResponseToAnAnnouncementIsLost() throws Exception {
        mStandIn.mode(Mode.LOST);
        var address = Addresses.parse("10.0.0.7:8229");
        var thrown =
                assertThrows(
                        ExecutionException.class,
                        () ->
                                await(
                                        () ->
                                                mStore.registerNode(
                                                        "e", NodeRecord.first(address, DOMAIN))));
        var failure = (StoreException) thrown.getCause();
        assertThat(failure.reason(), is(StoreException.Cause.UNANSWERED));
    }

    @Test
    void shouldKeepOffsetsOfRecordsAfterAnUnreadableOne() throws Exception {
        ByteBuffer page = ByteBuffer.allocate(200).putLong(9).putLong(0);
        page.putInt(0);
        page.putInt(2).put((byte) 40).put((byte) 'x');
        page.put(LogStore.keyedRecord("k", "v".getBytes(StandardCharsets.UTF_8)));
        byte[] bytes = new byte[page.position()];
        page.flip().get(bytes);
        var read = LogStore.readPage(bytes, 5, 0);
        assertThat(read.end(), is(at(8)));
        assertThat(read.records().size(), is(1));
        assertThat(read.records().getFirst().position(), is(at(7)));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 5, 15})
    void shouldRejectPageWithoutHead(int length) {
        assertThrows(
                Json.UnreadableException.class, () -> LogStore.readPage(new byte[length], 0, 0));
    }

    @Test
    void shouldRejectPageWithTruncatedRecord() {
        byte[] bytes = ByteBuffer.allocate(24).putLong(1).putLong(0).putInt(100).array();
        assertThrows(Json.UnreadableException.class, () -> LogStore.readPage(bytes, 0, 0));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "{\"items\":{},\"end\":1}",
                "{\"items\":[],\"end\":\"x\"}",
                "{\"items\":[7],\"end\":1}",
                "{\"items\":[{\"key\":\"a\",\"value\":\"%%\",\"offset\":1}],\"end\":1}",
                "{\"items\":[{\"value\":\"\",\"offset\":1}],\"end\":1}"
            })
    void shouldRejectMalformedNewestRecords(String text) {
        assertThrows(
                Json.UnreadableException.class,
                () -> LogStore.readNewest(Json.parse(text.getBytes(StandardCharsets.UTF_8)), 0));
    }

    @Test
    void shouldReuseConnectionForConsecutiveCalls() throws Exception {
        for (int i = 0; i < 5; i++) {
            read(0);
        }
        assertThat(mStandIn.calls().size(), greaterThanOrEqualTo(5));
        assertThat(mStandIn.connections(), is(1));
    }
}
