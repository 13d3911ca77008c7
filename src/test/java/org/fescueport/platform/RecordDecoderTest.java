package org.fescueport.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.decision.PoolId;
import org.fescueport.internal.direct.config.ApiKey;
import org.fescueport.internal.direct.config.KeyPolicy;
import org.fescueport.internal.direct.config.RequestKind;
import org.fescueport.internal.direct.state.NodeRecord;
import org.fescueport.internal.direct.state.StateDecoder.UnusableRecordException;
import org.fescueport.internal.direct.state.StorePosition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class RecordDecoderTest {
    private static final String REPLICA =
            """
            {"service":"llm","address":"10.0.0.9:8080","zone":"north","version":"v1","slots":64,\
            "state":"ready","cold_remaining_ms":0,"seq":4,"born":1700000000000}""";

    private final RecordDecoder mDecoder = new RecordDecoder();

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void shouldDecodeReplica() throws Exception {
        var entry = mDecoder.replica("i-1", bytes(REPLICA));
        assertThat(entry.id().name(), is("i-1"));
        assertThat(entry.pool(), is(PoolId.of("llm")));
        assertThat(entry.address().getPort(), is(8080));
        assertThat(entry.leaving(), is(false));
        assertThat(entry.slots(), is(64));
        assertThat(entry.startedAtMillis(), is(1_700_000_000_000L));
    }

    @Test
    void shouldDecodeDrainingReplica() throws Exception {
        String leaving = REPLICA.replace("\"ready\"", "\"draining\"");
        assertThat(mDecoder.replica("i-1", bytes(leaving)).leaving(), is(true));
    }

    @Test
    void shouldDecodeReplicaWithoutStartTime() throws Exception {
        String old = REPLICA.replace(",\"born\":1700000000000", "");
        assertThat(mDecoder.replica("i-1", bytes(old)).startedAtMillis(), is(0L));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"service\":\"llm\", | '' | service",
                "\"service\":\"llm\" | \"service\":7 | service",
                "10.0.0.9:8080 | somewhere:8080 | somewhere",
                "10.0.0.9:8080 | 10.0.0.9 | 10.0.0.9",
                "10.0.0.9:8080 | 10.0.0.9:99999 | 99999",
                "\"state\":\"ready\" | \"state\":\"asleep\" | asleep",
                "\"state\":\"ready\" | \"state\":null | state",
                "\"slots\":64 | \"slots\":\"many\" | slots",
                "\"slots\":64 | \"slots\":6.5 | slots",
                "\"zone\":\"north\" | \"zone\":[] | zone",
                "\"seq\":4,\"born\":1700000000000} | \"seq\":4,\"born\":{}} | born"
            })
    void shouldNameInvalidFieldOfReplica(String part, String wrong, String named) {
        var thrown =
                assertThrows(
                        UnusableRecordException.class,
                        () -> mDecoder.replica("i-1", bytes(REPLICA.replace(part, wrong))));
        assertThat(thrown.getMessage(), containsString(named));
    }

    @ParameterizedTest
    @CsvSource({"0, 0", "2400, 2400", "600000, 600000", "-1, 0", "600001, 0"})
    void shouldDecodeColdTimeAndReportInvalidOnes(long told, long read) throws Exception {
        String text = REPLICA.replace("\"seq\":4", "\"seq\":4,\"cold_remaining_ms\":" + told);
        var cold = mDecoder.replica("i-1", bytes(text)).warmUp();
        assertThat(cold.remaining().toMillis(), is(read));
        assertThat(cold.unreadable().isPresent(), is(told != read));
    }

    @ParameterizedTest
    @CsvSource({"0, false", "10.5, true"})
    void shouldDecodeRequestRateOfColdReplicas(double rate, boolean bounded) throws Exception {
        String text =
                Installation.configuration(7)
                        .replace("\"max_conns\":50", "\"max_conns\":50,\"cold_per_s\":" + rate);
        var rates = mDecoder.configuration(bytes(text)).coldRates();
        assertThat(rates.containsKey(PoolId.of("llm")), is(bounded));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "[]", "7", "{\"service\":", "\u0000\u0001", "{}{}"})
    void shouldRejectBytesThatAreNotOneJsonObject(String text) {
        assertThrows(UnusableRecordException.class, () -> mDecoder.replica("i-1", bytes(text)));
        assertThrows(UnusableRecordException.class, () -> mDecoder.configuration(bytes(text)));
        assertThrows(UnusableRecordException.class, () -> mDecoder.node(bytes(text)));
    }

    @Test
    void shouldRejectTooDeeplyNestedJson() {
        String deep = "{\"a\":".repeat(200) + "1" + "}".repeat(200);
        assertThrows(UnusableRecordException.class, () -> mDecoder.configuration(bytes(deep)));
    }

    @Test
    void shouldDecodeConfiguration() throws Exception {
        var read = mDecoder.configuration(bytes(Installation.configuration(7)));
        assertThat(read.version(), is(7L));
        var route = read.routes().find("h.example", "/stream/a/b").orElseThrow();
        assertThat(route.kind(), is(RequestKind.STREAM_RESUMABLE));
        assertThat(route.maxAttempts(), is(2));
        assertThat(route.timeout().toMillis(), is(3_000L));
        var keys = (KeyPolicy.Required) read.keys();
        assertThat(
                keys.teamByApiKey(ApiKey.of("key-1")).orElseThrow().id().name(),
                is("dam-operators"));
        assertThat(read.maxConnections().get(PoolId.of("llm")), is(50));
        assertThat(read.limits().maxBodyBytes(), is(100_000));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                ",\"tenants\":[]} | true",
                ",\"tenants\":null} | true",
                ",\"tenants\":[{\"name\":\"a\",\"api_keys\":[]}]} | true",
                "} | false"
            })
    void shouldTellNoKeysFromNoneRequired(String end, boolean required) throws Exception {
        String whole = Installation.configuration(7);
        String text = whole.substring(0, whole.indexOf(",\n \"tenants\"")) + end;
        var keys = mDecoder.configuration(bytes(text)).keys();
        assertThat(keys, is(required ? KeyPolicy.required(Map.of()) : KeyPolicy.notRequired()));
    }

    @ParameterizedTest
    @CsvSource({
        "safe, REPEATABLE",
        "unsafe, ONCE",
        "once, STREAM_ONCE",
        "stream, STREAM_RESUMABLE"
    })
    void shouldDecodeRequestKindOfRoute(String path, RequestKind kind) throws Exception {
        var read = mDecoder.configuration(bytes(Installation.configuration(7)));
        var route = read.routes().find("h.example", "/" + path + "/x").orElseThrow();
        assertThat(route.kind(), is(kind));
    }

    @Test
    void shouldDecodeRouteWithSeveralServices() throws Exception {
        String split =
                Installation.configuration(7)
                        .replaceFirst(
                                "\"service\":\"api\"",
                                "\"backends\":[{\"service\":\"api\",\"weight\":90},"
                                        + "{\"service\":\"llm\",\"weight\":10}]");
        var route = mDecoder.configuration(bytes(split)).routes().find("h.example", "/safe/x");
        assertThat(route.orElseThrow().targets().size(), is(2));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"version\":7 | \"version\":\"seven\" | version",
                "\"version\":7, | '' | version",
                "\"route_type\":\"safe\" | \"route_type\":\"keen\" | keen",
                "\"timeout_ms\":1500 | \"timeout_ms\":true | timeout_ms",
                "\"service\":\"api\" | \"service\":[] | service",
                "\"max_conns\":50 | \"max_conns\":\"x\" | max_conns",
                "\"api_keys\":[\"key-1\"] | \"api_keys\":\"key-1\" | api_keys",
                "\"api_keys\":[\"key-1\"] | \"api_keys\":[7] | list",
                "\"max_body_bytes\":100000, | '' | max_body_bytes"
            })
    void shouldNameInvalidFieldOfConfiguration(String part, String wrong, String named) {
        String text = Installation.configuration(7).replace(part, wrong);
        var thrown =
                assertThrows(
                        UnusableRecordException.class, () -> mDecoder.configuration(bytes(text)));
        assertThat(thrown.getMessage(), containsString(named));
    }

    @Test
    void shouldDecodeTheNodeRecordThatItEncodes() throws Exception {
        var address = Addresses.parse("10.0.0.7:8229");
        for (var node :
                List.of(
                        NodeRecord.first(address, FailureDomain.of("")),
                        NodeRecord.again(
                                address, FailureDomain.of("north"), StorePosition.of(3, 17)))) {
            assertThat(mDecoder.node(RecordDecoder.nodeRecord(node)), is(node));
        }
    }
}
