package org.fescueport.platform;

import static org.fescueport.platform.Installation.get;
import static org.fescueport.platform.Scripts.GOOD;
import static org.fescueport.platform.Scripts.STREAM;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against serving every caller once the last API key is withdrawn. */
class WithdrawnKeysTest {
    private static final String TEAMS =
            "\"tenants\":[{\"name\":\"dam-operators\",\"api_keys\":[\"key-1\"],\"priority\":1}]";

    private static final List<String> WITHOUT_KEYS =
            List.of(
                    "\"tenants\":[{\"name\":\"dam-operators\",\"api_keys\":[],\"priority\":1}]",
                    "\"tenants\":[]",
                    "\"tenants\":null");

    private static final String AUTHORIZATION = "Authorization: Token key-1\r\n";

    /** How a node learns that the last key is withdrawn. */
    private enum Source {
        STORE,
        PEER,
        START,
        START_AT_PEER,
        END_OF_OUTAGE
    }

    static Stream<Arguments> sources() {
        return Stream.of(Source.values())
                .flatMap(source -> WITHOUT_KEYS.stream().map(t -> Arguments.of(source, t)));
    }

    private static String configuration(int version, String teams) {
        return Installation.configuration(version).replace(TEAMS, teams);
    }

    @ParameterizedTest
    @MethodSource("sources")
    void shouldServeNobodyOnceTheLastKeyIsWithdrawn(Source source, String teams) throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM);
                var away = StoreStandIn.start()) {
            assertThat(fleet.ask(get("/safe/x")).status(), is(200));
            switch (source) {
                case STORE -> {
                    fleet.store().configure(configuration(2, teams));
                    assertServesNobody(fleet, fleet.router().callers());
                }
                case PEER -> {
                    try (var node = fleet.startTurnedAway(away)) {
                        fleet.store().configure(configuration(2, teams));
                        assertServesNobody(fleet, node.callers());
                    }
                }
                case START -> {
                    fleet.store().configure(configuration(2, teams));
                    try (var node =
                            TestRouter.start("edge-3", fleet.store().address()).awaitReady()) {
                        assertServesNobody(fleet, node.callers());
                    }
                }
                case START_AT_PEER -> {
                    fleet.store().configure(configuration(2, teams));
                    assertServesNobody(fleet, fleet.router().callers());
                    try (var node = fleet.startTurnedAway(away)) {
                        assertServesNobody(fleet, node.callers());
                    }
                }
                case END_OF_OUTAGE -> {
                    fleet.store().mode(StoreStandIn.Mode.BUSY);
                    fleet.store().configure(configuration(2, teams));
                    Await.pause(300);
                    fleet.store().mode(StoreStandIn.Mode.GOOD);
                    assertServesNobody(fleet, fleet.router().callers());
                }
                default -> throw new AssertionError("source " + source);
            }
        }
    }

    private static void assertServesNobody(Installation fleet, InetSocketAddress node)
            throws IOException {
        Await.until("the key is withdrawn", () -> RawCaller.statusOf(node, get("/safe/x")) == 401);
        int before = fleet.arrivals("api") + fleet.arrivals("llm");
        for (String key : List.of(AUTHORIZATION, "Authorization: Token never\r\n", "")) {
            for (String path : List.of("/safe/x", "/unsafe/x", "/once/x", "/stream/x")) {
                String request = get(path).replace(AUTHORIZATION, key);
                assertThat(RawCaller.ask(node, request).status(), is(401));
            }
        }
        assertThat(fleet.arrivals("api") + fleet.arrivals("llm"), is(before));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", AUTHORIZATION})
    void shouldStillServeOpenRoutesOnceTheLastKeyIsWithdrawn(String key) throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM)) {
            String open =
                    configuration(2, WITHOUT_KEYS.getFirst())
                            .replaceFirst("\"public\":false", "\"public\":true");
            fleet.store().configure(open);
            Await.until(
                    "the key is withdrawn",
                    () -> RawCaller.statusOf(fleet.router().callers(), get("/stream/x")) == 401);
            String request = get("/safe/x").replace(AUTHORIZATION, key);
            assertThat(fleet.ask(request).status(), is(200));
        }
    }

    @Test
    void shouldServeEveryCallerIfNoTeamsAreConfigured() throws Exception {
        try (var fleet = Installation.start(GOOD, STREAM)) {
            String text = configuration(2, "").replaceFirst(",\\s*}$", "}");
            fleet.store().configure(text);
            String request = get("/safe/x").replace(AUTHORIZATION, "");
            Await.until(
                    "no key is required",
                    () -> RawCaller.statusOf(fleet.router().callers(), request) == 200);
        }
    }
}
