package org.fescueport.internal.http;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RoutesTest {
    private final HttpCaller mCaller = AsyncHttpCaller.create(HttpCallerSettings.defaults());
    private HttpServer mServer;

    @BeforeEach
    void start() {
        Routes routes =
                Routes.of()
                        .get("/healthz", (exchange, path) -> answer(exchange, "well"))
                        .post(
                                "/v1/services/{service}/{operation}",
                                (exchange, path) ->
                                        answer(
                                                exchange,
                                                path.get("service") + "+" + path.get("operation")));
        mServer = HttpServer.start(HttpServerSettings.of("127.0.0.1", 0), routes);
    }

    @AfterEach
    void stop() {
        mCaller.close();
        mServer.close();
    }

    @ParameterizedTest
    @CsvSource({
        "GET, /healthz, 200, well",
        "GET, /healthz?a=b, 200, well",
        "POST, /v1/services/booking/move, 200, booking+move",
        "POST, /v1/services/booking/move/more, 404,",
        "GET, /, 404,",
        "POST, /healthz, 405,",
        "GET, /v1/services/booking/move, 405,"
    })
    void shouldHandRequestToHandlerOfMethodAndPath(
            String method, String target, int status, String body) {
        String url = "http://127.0.0.1:" + mServer.port() + target;
        HttpCaller.Request request =
                new HttpCaller.Request(method, url, Map.of(), new byte[0], Duration.ofSeconds(5));

        HttpCaller.Response response = mCaller.call(request).join();

        assertThat(response.status(), is(status));
        if (body != null) {
            assertThat(new String(response.body(), UTF_8), is(body));
        }
    }

    private static void answer(HttpExchange exchange, String text) {
        exchange.respond(200, Map.of(), text.getBytes(UTF_8));
    }
}
