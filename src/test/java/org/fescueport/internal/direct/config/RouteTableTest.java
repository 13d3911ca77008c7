package org.fescueport.internal.direct.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fescueport.internal.decision.PoolId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RouteTableTest {
    private static Route route(String host, String prefix, Route.Target... targets) {
        return new Route(
                host + prefix,
                host,
                prefix,
                RequestKind.REPEATABLE,
                List.of(targets),
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                0,
                1,
                false);
    }

    private static Route.Target target(String pool, int weight) {
        return new Route.Target(PoolId.of(pool), weight);
    }

    @ParameterizedTest
    @CsvSource({
        "h, /a/b/c, h/a/b/",
        "h, /a/b/, h/a/b/",
        "h, /a/bc, h/a/",
        "h, /a/, h/a/",
        "h, /x, h/",
        "g, /a/b, g/a/"
    })
    void shouldFindTheLongestPrefixOfTheHost(String host, String path, String name) {
        var pool = target("p", 1);
        var table =
                RouteTable.of(
                        List.of(
                                route("h", "/", pool),
                                route("h", "/a/", pool),
                                route("h", "/a/b/", pool),
                                route("g", "/a/", pool)));
        assertThat(table.find(host, path).orElseThrow().name(), is(name));
    }

    @ParameterizedTest
    @CsvSource({"h, /a", "h, /b/a/", "x, /a/", "h, ''"})
    void shouldFindNoRouteWhenNoPrefixMatches(String host, String path) {
        var table = RouteTable.of(List.of(route("h", "/a/", target("p", 1))));
        assertThat(table.find(host, path).isPresent(), is(false));
    }

    @Test
    void shouldSplitByWeightAndKeepEqualKeysTogether() {
        var split = route("h", "/", target("p", 90), target("q", 10));
        Map<PoolId, Integer> counts = new HashMap<>();
        for (long i = 0; i < 10_000; i++) {
            long key = i * 0x9e3779b97f4a7c15L;
            counts.merge(split.poolFor(key), 1, Integer::sum);
            assertThat(split.poolFor(key), is(split.poolFor(key)));
        }
        assertThat(Math.abs(counts.get(PoolId.of("q")) - 1_000) < 150, is(true));
    }

    @Test
    void shouldSendNothingToAPoolOfWeightZero() {
        var split = route("h", "/", target("p", 0), target("q", 5));
        for (long i = 0; i < 1_000; i++) {
            assertThat(split.poolFor(i * 7_919), is(PoolId.of("q")));
        }
    }
}
