package org.fescueport.internal.standin.engine;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.MockClock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueport.internal.standin.BadRequestException;
import org.fescueport.internal.standin.FakeExchange;
import org.fescueport.internal.standin.FaultSwitch;
import org.fescueport.internal.standin.Faults;
import org.fescueport.internal.standin.Json;
import org.fescueport.internal.telemetry.Telemetry;
import org.jmock.lib.concurrent.DeterministicScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EngineHandlerTest {
    private static final String QUESTION =
            "how full is the reservoir of Chixoy ".repeat(10).strip();

    private final MockClock mClock = new MockClock();
    private final DeterministicScheduler mScheduler = new DeterministicScheduler();
    private final FaultSwitch mFaults = FaultSwitch.create(Faults.none(), 7);
    private final Telemetry mTelemetry =
            Telemetry.create("standin-engine", "test", Optional.empty(), mClock);
    private final AtomicInteger mCrashes = new AtomicInteger();
    private final EngineHandler mEngine = engine(8, 1000, 4096);

    @Test
    void shouldStreamTheKnownAnswer() throws BadRequestException {
        var exchange = ask(chat(QUESTION, 12));
        mScheduler.tick(1, TimeUnit.SECONDS);
        assertThat(textOf(exchange), is(KnownAnswer.textFor(QUESTION, 12)));
        assertThat(exchange.answer(), containsString("data: [DONE]"));
        assertThat(exchange.isEnded(), is(true));
    }

    @Test
    void shouldAnswerInOnePiece() throws BadRequestException {
        var exchange = ask("{\"messages\":[{\"content\":\"hi\"}],\"max_tokens\":3}");
        mScheduler.tick(1, TimeUnit.SECONDS);
        var text = Json.parse(exchange.answerBytes()).at("/choices/0/message/content").asText();
        assertThat(text, is(KnownAnswer.textFor("hi", 3)));
    }

    @Test
    void shouldFindAReturningChatCached() throws BadRequestException {
        ask(chat(QUESTION, 64));
        mScheduler.tick(1, TimeUnit.SECONDS);
        var back = ask(returning(QUESTION, KnownAnswer.textFor(QUESTION, 64), "and now?"));
        mScheduler.tick(1, TimeUnit.SECONDS);
        int all = 1 + 70 + 1 + 64 + 1 + 2 + 1;
        assertThat(firstUsage(back).path("prompt_tokens").asInt(), is(all));
        int cached = firstUsage(back).at("/prompt_tokens_details/cached_tokens").asInt();
        assertThat(cached, is((1 + 70 + 1 + 64) / 16 * 16));
    }

    @Test
    void shouldForgetTheLeastRecentlyUsedPrefix() throws BadRequestException {
        var engine = engine(8, 1000, 6);
        ask(engine, chat(QUESTION, 1));
        mScheduler.tick(1, TimeUnit.SECONDS);
        ask(engine, chat("another " + QUESTION, 1));
        mScheduler.tick(1, TimeUnit.SECONDS);
        var back = ask(engine, chat(QUESTION, 1));
        mScheduler.tick(1, TimeUnit.SECONDS);
        int cached = firstUsage(back).at("/prompt_tokens_details/cached_tokens").asInt();
        assertThat(cached, is(2 * 16));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 6, 7, 29, 30})
    void shouldResumeAfterAnyCharacter(int delivered) throws BadRequestException {
        var whole = KnownAnswer.textFor("hi", 5);
        var body = Json.parse(chat("hi", 5).getBytes(UTF_8));
        var resumed = (ObjectNode) body;
        resumed.put("resume_text", whole.substring(0, delivered));
        var exchange = ask(resumed.toString());
        mScheduler.tick(1, TimeUnit.SECONDS);
        assertThat(whole.substring(0, delivered) + textOf(exchange), is(whole));
        assertThat(exchange.isEnded(), is(true));
    }

    @Test
    void shouldRefuseToResumeAnotherAnswer() {
        var body = chat("hi", 5).replace("}]", "}],\"resume_text\":\"wrong\"");
        assertThat(ask(body).status(), is(400));
    }

    @Test
    void shouldRunTheMostUrgentFirst() {
        var engine = engine(1, 1000, 64);
        var running = ask(engine, chat("first", 4));
        var calm = ask(engine, chat("calm", 4).replace("{\"m", "{\"priority\":2,\"m"));
        var urgent = ask(engine, chat("urgent", 4).replace("{\"m", "{\"priority\":0,\"m"));
        while (!urgent.isEnded()) {
            mScheduler.tick(1, TimeUnit.MILLISECONDS);
        }
        assertThat(running.isEnded(), is(true));
        assertThat(calm.isEnded(), is(false));
    }

    @Test
    void shouldSlowDownAsTheBatchGrows() {
        long prefillOfTheFirst = 10;
        long lastStepOfTheOthers = 16;
        assertThat(millisUntilDone(1), is(prefillOfTheFirst + 100 * 10));
        assertThat(millisUntilDone(8), is(prefillOfTheFirst + 100 * 17 + lastStepOfTheOthers));
    }

    @Test
    void shouldStopWhenTheCallerIsGone() throws BadRequestException {
        var exchange = ask(chat(QUESTION, 1000));
        mScheduler.tick(100, TimeUnit.MILLISECONDS);
        exchange.goAway();
        mScheduler.tick(1, TimeUnit.MILLISECONDS);
        long generated = stats("/v1/stats").path("generatedTokens").asLong();
        mScheduler.tick(1, TimeUnit.SECONDS);
        assertThat(stats("/v1/stats").path("generatedTokens").asLong(), is(generated));
        assertThat(stats("/v1/stats").path("cancelled").asInt(), is(1));
        assertThat(mEngine.isIdle(), is(true));
    }

    @Test
    void shouldWaitForASlowReader() throws BadRequestException {
        var exchange = ask(chat("hi", 40));
        exchange.setWaitingBytes(1 << 20);
        mScheduler.tick(1, TimeUnit.SECONDS);
        assertThat(textOf(exchange).length(), is(6));
        exchange.setWaitingBytes(0);
        mScheduler.tick(1, TimeUnit.SECONDS);
        assertThat(textOf(exchange), is(KnownAnswer.textFor("hi", 40)));
    }

    @Test
    void shouldRefuseAboveItsQueue() {
        var engine = engine(1, 1, 64);
        ask(engine, chat("running", 50));
        mScheduler.tick(10, TimeUnit.MILLISECONDS);
        ask(engine, chat("waiting", 50));
        var refused = ask(engine, chat("too many", 50));
        mScheduler.tick(1, TimeUnit.MILLISECONDS);
        assertThat(refused.status(), is(503));
    }

    @Test
    void shouldCrashOnThePoisonWordOnly() throws BadRequestException {
        mFaults.change(Json.object().put("crashOn", "xyzzy"));
        ask(chat("harmless", 2));
        mScheduler.tick(1, TimeUnit.SECONDS);
        assertThat(mCrashes.get(), is(0));
        ask(chat("say xyzzy", 2));
        mScheduler.tick(1, TimeUnit.SECONDS);
        assertThat(mCrashes.get(), is(1));
    }

    @Test
    void shouldStandStillWhenFrozen() throws BadRequestException {
        var exchange = ask(chat("hi", 20));
        mScheduler.tick(30, TimeUnit.MILLISECONDS);
        mFaults.change(Json.object().put("freeze", true));
        mScheduler.tick(30, TimeUnit.MILLISECONDS);
        int before = textOf(exchange).length();
        mScheduler.tick(1, TimeUnit.SECONDS);
        assertThat(textOf(exchange).length(), is(before));
        mFaults.change(Json.object().put("freeze", false));
        mScheduler.tick(1, TimeUnit.SECONDS);
        assertThat(textOf(exchange), is(KnownAnswer.textFor("hi", 20)));
    }

    @Test
    void shouldHandItsCacheToAnotherEngine() throws BadRequestException {
        ask(chat(QUESTION, 1));
        mScheduler.tick(1, TimeUnit.SECONDS);
        var exported = ask(mEngine, "/v1/kv/export", chat(QUESTION, 1).getBytes(UTF_8));
        mScheduler.runUntilIdle();
        assertThat(exported.status(), is(200));

        var other = engine(8, 1000, 4096);
        ask(other, "/v1/kv/import", exported.answerBytes());
        var back = ask(other, chat(QUESTION, 1));
        mScheduler.tick(1, TimeUnit.SECONDS);
        int cached = firstUsage(back).at("/prompt_tokens_details/cached_tokens").asInt();
        assertThat(cached, is(72 / 16 * 16));
    }

    @Test
    void shouldNotExportWhatIsNotCached() {
        var exported = ask(mEngine, "/v1/kv/export", chat(QUESTION, 1).getBytes(UTF_8));
        mScheduler.runUntilIdle();
        assertThat(exported.status(), is(404));
    }

    @Test
    void shouldPublishCacheEventsLateAndWithGaps() throws BadRequestException {
        mFaults.change(Json.object().put("lagMillis", 500).put("dropCacheEvents", 0.5));
        ask(chat(QUESTION.repeat(20), 1));
        mScheduler.tick(1, TimeUnit.SECONDS);
        assertThat(stats("/v1/cache-events").path("events").size(), is(0));
        mClock.add(Duration.ofMillis(500));
        int blocks = stats("/v1/load").path("cachedBlocks").asInt();
        assertThat(stats("/v1/cache-events").path("events").size(), lessThan(blocks));
    }

    @Test
    void shouldReportItsLoadLate() throws BadRequestException {
        mFaults.change(Json.object().put("lagMillis", 500));
        ask(chat(QUESTION, 100));
        mScheduler.tick(10, TimeUnit.MILLISECONDS);
        assertThat(stats("/v1/load").path("running").asInt(), is(0));
        mClock.add(Duration.ofMillis(500));
        assertThat(stats("/v1/load").path("running").asInt(), is(1));
    }

    @Test
    void shouldRefuseAnOrderWithAnOlderToken() {
        assertThat(order(mEngine, 5), is(200));
        assertThat(order(mEngine, 4), is(409));
        assertThat(order(mEngine, 5), is(200));
    }

    @Test
    void shouldIgnoreTokensWhenItDoesNotCheckThem() {
        var engine = engine(settings(8, 1000, 64, false));
        assertThat(order(engine, 5), is(200));
        assertThat(order(engine, 4), is(200));
    }

    private long millisUntilDone(int sequences) {
        var engine = engine(8, 1000, 4096);
        FakeExchange last = null;
        for (int i = 0; i < sequences; i++) {
            last = ask(engine, chat("hi " + i, 100));
        }
        long millis = 0;
        while (!last.isEnded()) {
            mScheduler.tick(1, TimeUnit.MILLISECONDS);
            millis++;
        }
        return millis;
    }

    private EngineHandler engine(int maxBatch, int maxWaiting, int cacheBlocks) {
        return engine(settings(maxBatch, maxWaiting, cacheBlocks, true));
    }

    private EngineHandler engine(EngineSettings settings) {
        return EngineHandler.create(
                settings, mClock, mScheduler, mFaults, mTelemetry, mCrashes::incrementAndGet);
    }

    private static EngineSettings settings(
            int maxBatch, int maxWaiting, int cacheBlocks, boolean checksFencing) {
        return new EngineSettings(
                Duration.ofMillis(10),
                0.1,
                Duration.ZERO,
                maxBatch,
                maxWaiting,
                cacheBlocks,
                checksFencing);
    }

    private FakeExchange ask(String body) {
        return ask(mEngine, body);
    }

    private static FakeExchange ask(EngineHandler engine, String body) {
        return ask(engine, "/v1/chat/completions", body.getBytes(UTF_8));
    }

    private static FakeExchange ask(EngineHandler engine, String path, byte[] body) {
        var exchange = FakeExchange.of("POST", path).body(body);
        engine.handle(exchange);
        return exchange;
    }

    private static int order(EngineHandler engine, long token) {
        var order = "{\"kind\":\"load\",\"subject\":\"m\",\"fencingToken\":" + token + "}";
        return ask(engine, "/v1/orders", order.getBytes(UTF_8)).status();
    }

    private JsonNode stats(String path) throws BadRequestException {
        var exchange = FakeExchange.of("GET", path);
        mEngine.handle(exchange);
        return Json.parse(exchange.answerBytes());
    }

    private static String chat(String question, int maxTokens) {
        var body = Json.object().put("max_tokens", maxTokens).put("stream", true);
        body.putArray("messages").addObject().put("role", "user").put("content", question);
        return body.toString();
    }

    private static String returning(String question, String answer, String next) {
        var body = Json.object().put("max_tokens", 1).put("stream", true);
        var messages = body.putArray("messages");
        messages.addObject().put("role", "user").put("content", question);
        messages.addObject().put("role", "assistant").put("content", answer);
        messages.addObject().put("role", "user").put("content", next);
        return body.toString();
    }

    private static JsonNode firstUsage(FakeExchange exchange) throws BadRequestException {
        return events(exchange).getFirst().path("usage");
    }

    private static String textOf(FakeExchange exchange) throws BadRequestException {
        var text = new StringBuilder();
        for (var event : events(exchange)) {
            text.append(event.at("/choices/0/delta/content").asText(""));
        }
        return text.toString();
    }

    private static List<JsonNode> events(FakeExchange exchange) throws BadRequestException {
        var events = new ArrayList<JsonNode>();
        for (var line : exchange.answer().split("\n\n")) {
            if (line.startsWith("data: {")) {
                events.add(Json.parse(line.substring(6).getBytes(UTF_8)));
            }
        }
        return events;
    }
}
