package org.fescueport.internal.port;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.http.AsyncHttpCaller;
import org.fescueport.internal.http.HttpCaller;
import org.fescueport.internal.http.HttpCallerSettings;
import org.fescueport.internal.http.HttpHandler;
import org.fescueport.internal.http.HttpServer;
import org.fescueport.internal.http.HttpServerSettings;
import org.fescueport.internal.http.ResponseStream;
import org.fescueport.port.Engine;
import org.fescueport.port.PlatformException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class HttpEngineGenerationTest {
    private static final Duration LIMIT = Duration.ofSeconds(5);
    private static final String FIRST =
            "data: {\"id\":\"x\",\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\","
                    + "\"content\":\"\"},\"finish_reason\":null}],\"usage\":{\"prompt_tokens\":9,"
                    + "\"completion_tokens\":0,\"prompt_tokens_details\":"
                    + "{\"cached_tokens\":4}}}\n\n";
    private static final String TEXT =
            ": comment\r\ndata: {\"choices\":[{\"delta\":{\"content\":\"Niño \\\"a\\\"\"}}]}\r\n"
                    + "\r\n";
    private static final String LAST =
            "data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"
                    + "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,"
                    + "\"completion_tokens\":2,"
                    + "\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n";
    private static final String DONE = "data: [DONE]\n\n";

    private final HttpCaller mCaller = AsyncHttpCaller.create(HttpCallerSettings.defaults());
    private HttpServer mServer;

    @AfterEach
    void stop() {
        mCaller.close();
        if (mServer != null) {
            mServer.close();
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 64, 10_000})
    void shouldReadStreamHoweverItsBytesAreSplit(int pieceBytes) {
        byte[] stream = (FIRST + TEXT + TEXT + LAST + DONE).getBytes(UTF_8);

        String events =
                run(
                        exchange -> {
                            ResponseStream body = exchange.stream(200, Map.of());
                            for (int i = 0; i < stream.length; i += pieceBytes) {
                                int end = Math.min(stream.length, i + pieceBytes);
                                body.write(java.util.Arrays.copyOfRange(stream, i, end));
                            }
                            body.end();
                        });

        assertThat(events, is("started 9 4|text Niño \"a\"|text Niño \"a\"|completed stop 9 4 2|"));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                FIRST + TEXT,
                FIRST + TEXT + LAST,
                FIRST + "data: {\"error\":{\"message\":\"out of memory\"}}\n\n" + DONE,
                FIRST + "data: {\"broken\n\n" + DONE
            })
    void shouldReportStreamThatIsNotWholeAsUnknown(String stream) {
        String events = run(exchange -> exchange.respond(200, Map.of(), stream.getBytes(UTF_8)));

        assertThat(events.substring(events.indexOf("failed")), is("failed UNKNOWN|"));
    }

    @ParameterizedTest
    @CsvSource({
        "429, refused 429 why|",
        "400, refused 400 why|",
        "503, refused 503 why|",
        "500, failed UNKNOWN|"
    })
    void shouldTellRefusalFromFailure(int status, String events) {
        assertThat(
                run(exchange -> exchange.respond(status, Map.of(), "why".getBytes(UTF_8))),
                is(events));
    }

    @Test
    void shouldReportConnectionThatIsCutAsUnknown() {
        String events =
                run(
                        exchange -> {
                            ResponseStream body = exchange.stream(200, Map.of());
                            body.write(FIRST.getBytes(UTF_8));
                            body.abort();
                        });

        assertThat(events.endsWith("failed UNKNOWN|"), is(true));
    }

    @Test
    void shouldCancelGenerationAtTheEngine() throws Exception {
        CountDownLatch aborted = new CountDownLatch(1);
        Recorder recorder = new Recorder();
        serve(
                exchange -> {
                    exchange.onAbort(aborted::countDown);
                    exchange.stream(200, Map.of()).write((FIRST + TEXT).getBytes(UTF_8));
                });

        Engine.Handle handle = start(recorder);
        recorder.mFirstText.get();
        handle.cancel();

        assertThat(aborted.await(5, TimeUnit.SECONDS), is(true));
        assertThat(recorder.mEnd.isDone(), is(false));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"model\":\"m\"} | {\"model\":\"m\",\"stream\":true,\"priority\":2}",
                "{\"a\":{} } | {\"a\":{} ,\"stream\":true,\"priority\":2}"
            })
    void shouldAddFieldsToBody(String body, String wanted) {
        Engine.Generation generation = new Engine.Generation(body.getBytes(UTF_8), 2, "", "");

        assertThat(new String(HttpEngine.bodyOf(generation), UTF_8), is(wanted));
    }

    @Test
    void shouldAddTextToResumeFrom() {
        Engine.Generation generation =
                new Engine.Generation("{\"a\":1}".getBytes(UTF_8), 0, "so \"far\"\n", "");

        assertThat(
                new String(HttpEngine.bodyOf(generation), UTF_8),
                startsWith(
                        "{\"a\":1,\"stream\":true,\"priority\":0,"
                                + "\"resume_text\":\"so \\\"far\\\"\\n\"}"));
    }

    private String run(HttpHandler handler) {
        serve(handler);
        Recorder recorder = new Recorder();
        start(recorder);
        return recorder.mEnd.orTimeout(5, TimeUnit.SECONDS).join();
    }

    private void serve(HttpHandler handler) {
        mServer = HttpServer.start(HttpServerSettings.of("127.0.0.1", 0), handler);
    }

    private Engine.Handle start(Engine.Listener listener) {
        String url = "http://127.0.0.1:" + mServer.port();
        Engine.Generation generation =
                new Engine.Generation("{\"model\":\"m\"}".getBytes(UTF_8), 1, "", "");
        return HttpEngine.of(mCaller, url, LIMIT, LIMIT).generate(generation, listener);
    }

    /** Writes the events down. */
    private static final class Recorder implements Engine.Listener {
        private final StringBuilder mEvents = new StringBuilder();
        private final CompletableFuture<String> mEnd = new CompletableFuture<>();
        private final CompletableFuture<Void> mFirstText = new CompletableFuture<>();

        @Override
        public void onStarted(int promptTokens, int cachedTokens) {
            mEvents.append("started " + promptTokens + " " + cachedTokens + "|");
        }

        @Override
        public void onText(String text, int tokens) {
            mEvents.append("text " + text + "|");
            mFirstText.complete(null);
        }

        @Override
        public void onCompleted(
                String finishReason, int promptTokens, int cachedTokens, int tokens) {
            end("completed %s %d %d %d", finishReason, promptTokens, cachedTokens, tokens);
        }

        @Override
        public void onRefused(int status, String detail) {
            end("refused %d %s", status, detail);
        }

        @Override
        public void onFailed(PlatformException failure) {
            end("failed %s", failure.effect());
        }

        private void end(String format, Object... values) {
            mEvents.append(String.format(format, values)).append('|');
            mEnd.complete(mEvents.toString());
        }
    }
}
