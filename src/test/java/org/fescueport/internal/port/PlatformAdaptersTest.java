package org.fescueport.internal.port;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.fescueport.internal.http.AsyncHttpCaller;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.internal.http.HttpCallerSettings;
import org.fescueport.internal.http.HttpExchange;
import org.fescueport.internal.http.HttpServer;
import org.fescueport.internal.http.HttpServerSettings;
import org.fescueport.port.Engine;
import org.fescueport.port.LogService;
import org.fescueport.port.PlainService;
import org.fescueport.port.PlatformException;
import org.fescueport.port.PlatformException.Effect;
import org.fescueport.port.VmList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlatformAdaptersTest {
    private static final Duration LIMIT = Duration.ofSeconds(5);

    private final HttpCaller mCaller = AsyncHttpCaller.create(HttpCallerSettings.defaults());
    private HttpServer mServer;
    private String mSeen = "";

    @AfterEach
    void stop() {
        mCaller.close();
        if (mServer != null) {
            mServer.close();
        }
    }

    @Test
    void shouldAppendRecordsAsBase64() {
        String url = serve(200, "{\"firstOffset\":17}");

        long offset = log(url).append("config", List.of(new byte[] {1, 2}, new byte[] {3})).join();

        assertThat(offset, is(17L));
        assertThat(mSeen, is("POST /v1/streams/config/records {\"records\":[\"AQI=\",\"Aw==\"]}"));
    }

    @ParameterizedTest
    @CsvSource({
        "429, not_appended, NONE",
        "503, not_appended, NONE",
        "429, other, UNKNOWN",
        "503, other, UNKNOWN",
        "500, not_appended, UNKNOWN",
        "400, other, NONE",
        "404, other, NONE"
    })
    void shouldTellWhetherAppendMayStandInLog(int status, String code, Effect effect) {
        String url = serve(status, "{\"error\":{\"type\":\"t\",\"code\":\"" + code + "\"}}");

        assertThat(failureOf(log(url).append("s", List.of())).effect(), is(effect));
    }

    @Test
    void shouldReadPage() {
        String url =
                serve(
                        200,
                        """
                        {"entries":[{"offset":5,"appendedAtMillis":70,"data":"AQI="}],
                        "firstOffset":4,"nextOffset":6}""");

        LogService.Page page = log(url).read("s", 3, 10).join();

        assertThat(page.firstOffset(), is(4L));
        assertThat(page.nextOffset(), is(6L));
        assertThat(page.entries().get(0).offset(), is(5L));
        assertThat(page.entries().get(0).appendedAtMillis(), is(70L));
        assertThat(page.entries().get(0).data(), is(new byte[] {1, 2}));
    }

    @Test
    void shouldTellThatNothingHappenedWhenServerIsAway() throws IOException {
        int port;
        try (ServerSocket closed = new ServerSocket(0)) {
            port = closed.getLocalPort();
        }
        String url = "http://127.0.0.1:" + port;

        assertThat(failureOf(log(url).append("s", List.of())).effect(), is(Effect.NONE));
        assertThat(failureOf(plain(url).call(move(1000))).effect(), is(Effect.NONE));
    }

    @Test
    void shouldTellThatEffectIsUnknownWhenPlainServiceIsTooSlow() {
        String url = serve(exchange -> {});

        assertThat(failureOf(plain(url).call(move(200))).effect(), is(Effect.UNKNOWN));
    }

    @ParameterizedTest
    @CsvSource({"200", "409", "500"})
    void shouldHandOnEveryAnswerOfPlainService(int status) {
        String url =
                serve(
                        exchange -> {
                            mSeen = exchange.path() + " " + exchange.header("Idempotency-Key");
                            exchange.respond(status, Map.of(), "moved".getBytes(UTF_8));
                        });

        PlainService.Response response = plain(url).call(move(1000)).join();

        assertThat(response.status(), is(status));
        assertThat(new String(response.body(), UTF_8), is("moved"));
        assertThat(mSeen, is("/move key"));
    }

    @Test
    void shouldReadVms() {
        String url =
                serve(
                        200,
                        """
                        {"vms":[{"id":"a","address":"127.0.0.1","failureDomain":"f",
                        "state":"leaving","labels":{"role":"agent"}}]}""");

        assertThat(
                HttpVmList.of(mCaller, url, LIMIT).list().join(),
                is(
                        List.of(
                                new VmList.Vm(
                                        "a",
                                        "127.0.0.1",
                                        "f",
                                        VmList.State.LEAVING,
                                        Map.of("role", "agent")))));
    }

    @Test
    void shouldReadSizeOfArtifact() {
        String url = serve(200, "{\"bytes\":9}");

        long size = HttpWeightStore.of(mCaller, url, LIMIT).sizeOf("model-a").join();

        assertThat(size, is(9L));
        assertThat(mSeen, is("GET /v1/artifacts/model-a "));
    }

    @Test
    void shouldReadLoadOfEngine() {
        String url =
                serve(200, "{\"running\":1,\"waiting\":2,\"cachedBlocks\":3,\"version\":\"v\"}");

        assertThat(engine(url).load().join(), is(new Engine.ReportedLoad(1, 2, 3, "v")));
    }

    @ParameterizedTest
    @CsvSource({"409, NONE", "500, UNKNOWN"})
    void shouldTellWhetherOrderMayHaveBeenCarriedOut(int status, Effect effect) {
        String url = serve(status, "{}");

        assertThat(
                failureOf(engine(url).order(new Engine.Order("load", "m", 5))).effect(),
                is(effect));
        assertThat(
                mSeen,
                is("POST /v1/orders {\"kind\":\"load\",\"subject\":\"m\",\"fencingToken\":5}"));
    }

    @ParameterizedTest
    @CsvSource({"200, cache", "404, ''"})
    void shouldExportCacheUnlessItIsGone(int status, String cache) {
        String url = serve(status, "cache");

        byte[] exported = engine(url).exportCache("{}".getBytes(UTF_8)).join();

        assertThat(new String(exported, UTF_8), is(cache));
    }

    @Test
    void shouldFailHealthCheckOfEngineThatIsUnwell() {
        String url = serve(503, "starting");

        assertThat(failureOf(engine(url).checkHealth()).effect(), is(Effect.NONE));
    }

    private String serve(int status, String body) {
        return serve(
                exchange -> {
                    mSeen =
                            exchange.method()
                                    + " "
                                    + exchange.path()
                                    + " "
                                    + new String(exchange.body(), UTF_8);
                    exchange.respond(status, Map.of(), body.getBytes(UTF_8));
                });
    }

    private String serve(java.util.function.Consumer<HttpExchange> handler) {
        mServer = HttpServer.start(HttpServerSettings.of("127.0.0.1", 0), handler::accept);
        return "http://127.0.0.1:" + mServer.port();
    }

    private LogService log(String url) {
        return HttpLogService.of(mCaller, url, LIMIT);
    }

    private PlainService plain(String url) {
        return HttpPlainService.of(mCaller, url, LIMIT);
    }

    private Engine engine(String url) {
        return HttpEngine.of(mCaller, url, LIMIT, LIMIT);
    }

    private static PlainService.Request move(long timeoutMillis) {
        return new PlainService.Request(
                "move", "text/plain", new byte[] {1}, "key", "", timeoutMillis);
    }

    private static PlatformException failureOf(CompletableFuture<?> future) {
        return (PlatformException) assertThrows(CompletionException.class, future::join).getCause();
    }
}
