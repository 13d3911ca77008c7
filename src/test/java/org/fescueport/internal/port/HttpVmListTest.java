package org.fescueport.internal.port;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.fescueport.internal.http.AsyncHttpCaller;
import org.fescueport.internal.http.HttpCallerSettings;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.HttpServer;
import org.fescueport.internal.http.HttpServerSettings;
import org.junit.jupiter.api.Test;

class HttpVmListTest {
    private static final String LIST =
            "{\"vms\":[{\"id\":\"vm-1\",\"address\":\"127.0.0.1\",\"failureDomain\":\"d1\","
                    + "\"state\":\"live\",\"labels\":{\"role\":\"agent\"}}]}";

    private final List<Integer> mStatuses = new ArrayList<>();

    @Test
    void shouldKeepTheListThatHasNotChanged() {
        try (var server = HttpServer.start(HttpServerSettings.of("127.0.0.1", 0), this::answer);
                var caller = AsyncHttpCaller.create(HttpCallerSettings.defaults())) {
            var url = "http://127.0.0.1:" + server.port();
            var list = HttpVmList.of(caller, url, Duration.ofSeconds(5));

            var first = list.list().join();
            var second = list.list().join();

            assertThat(first, hasSize(1));
            assertThat(second, is(first));
            assertThat(mStatuses, contains(200, 304));
        }
    }

    private void answer(HttpExchange exchange) {
        boolean isKnown = "\"7\"".equals(exchange.header("If-None-Match"));
        mStatuses.add(isKnown ? 304 : 200);
        byte[] body = isKnown ? new byte[0] : LIST.getBytes(StandardCharsets.UTF_8);
        exchange.respond(isKnown ? 304 : 200, Map.of("ETag", "\"7\""), body);
    }
}
