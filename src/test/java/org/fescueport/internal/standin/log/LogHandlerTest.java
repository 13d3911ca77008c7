package org.fescueport.internal.standin.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import io.micrometer.core.instrument.MockClock;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import org.fescueport.internal.standin.BadRequestException;
import org.fescueport.internal.standin.FakeExchange;
import org.fescueport.internal.standin.FaultSwitch;
import org.fescueport.internal.standin.Faults;
import org.fescueport.internal.standin.FaultyHandler;
import org.fescueport.internal.standin.Json;
import org.jmock.lib.concurrent.DeterministicScheduler;
import org.junit.jupiter.api.Test;

class LogHandlerTest {
    private final MockClock mClock = new MockClock();
    private final FaultSwitch mFaults = FaultSwitch.create(Faults.none(), 7);
    private final DeterministicScheduler mScheduler = new DeterministicScheduler();
    private final FaultyHandler mLog =
            FaultyHandler.create(
                    LogHandler.create(mClock, mFaults), mFaults, mScheduler, "not_appended");

    @Test
    void shouldAppendBlocksWithContiguousOffsets() throws BadRequestException {
        assertThat(firstOffset(append("a", "b")), is(1));
        assertThat(firstOffset(append("c")), is(3));
        var page = read(2, 10);
        assertThat(page.path("entries").size(), is(2));
        assertThat(page.at("/entries/0/offset").asInt(), is(2));
        assertThat(dataOf(page, 1), is("c"));
        assertThat(page.path("nextOffset").asInt(), is(4));
    }

    @Test
    void shouldReadNothingFromAnUnknownStream() throws BadRequestException {
        var page = read(1, 10);
        assertThat(page.path("entries").size(), is(0));
        assertThat(page.path("nextOffset").asInt(), is(1));
    }

    @Test
    void shouldRefuseAppendsOverTheLimit() throws BadRequestException {
        mFaults.change(Json.object().put("appendLimitPerSecond", 2));
        append("a");
        append("b");
        var refused = append("c");
        assertThat(refused.status(), is(429));
        assertThat(refused.answer(), containsString("not_appended"));
        mClock.add(Duration.ofSeconds(1));
        assertThat(firstOffset(append("c")), is(3));
    }

    @Test
    void shouldDropOldRecords() throws BadRequestException {
        mFaults.change(Json.object().put("retentionMillis", 1000));
        append("a");
        mClock.add(Duration.ofMillis(900));
        append("b");
        mClock.add(Duration.ofMillis(200));
        var page = read(1, 10);
        assertThat(page.path("firstOffset").asInt(), is(2));
        assertThat(dataOf(page, 0), is("b"));
    }

    @Test
    void shouldDropRecordsOverTheCount() throws BadRequestException {
        mFaults.change(Json.object().put("retentionRecords", 2));
        append("a", "b", "c");
        assertThat(read(1, 10).path("firstOffset").asInt(), is(2));
    }

    @Test
    void shouldAppendNothingInAnOutage() throws BadRequestException {
        mFaults.change(Json.object().put("outage", true));
        var refused = append("a");
        assertThat(refused.status(), is(503));
        assertThat(refused.answer(), containsString("not_appended"));
        mFaults.change(Json.object().put("outage", false));
        assertThat(read(1, 10).path("nextOffset").asInt(), is(1));
    }

    @Test
    void shouldLoseAnAnswerAfterItsEffect() throws BadRequestException {
        mFaults.change(Json.object().put("loseNextAnswers", 1));
        var lost = append("a");
        assertThat(lost.isCut(), is(true));
        assertThat(lost.answer(), is(""));
        assertThat(firstOffset(append("b")), is(2));
    }

    @Test
    void shouldHoldCallsBackWhileFrozen() throws BadRequestException {
        mFaults.change(Json.object().put("freeze", true));
        var held = append("a");
        assertThat(held.isEnded(), is(false));
        mLog.handle(FakeExchange.of("PUT", "/v1/faults").body("{\"freeze\":false}"));
        assertThat(firstOffset(held), is(1));
    }

    @Test
    void shouldRefuseAnUnknownFault() {
        var exchange = FakeExchange.of("PUT", "/v1/faults").body("{\"outtage\":true}");
        mLog.handle(exchange);
        assertThat(exchange.status(), is(400));
        assertThat(exchange.answer(), containsString("unknown fault outtage"));
    }

    private FakeExchange append(String... records) {
        var body = Json.object();
        var list = body.putArray("records");
        for (var record : records) {
            list.add(record.getBytes(StandardCharsets.UTF_8));
        }
        var exchange = FakeExchange.of("POST", "/v1/streams/s/records").body(body.toString());
        mLog.handle(exchange);
        return exchange;
    }

    private JsonNode read(long from, int limit) throws BadRequestException {
        var exchange =
                FakeExchange.of("GET", "/v1/streams/s/records")
                        .withQuery("from", Long.toString(from))
                        .withQuery("limit", Integer.toString(limit));
        mLog.handle(exchange);
        return Json.parse(exchange.answerBytes());
    }

    private static int firstOffset(FakeExchange exchange) throws BadRequestException {
        return Json.parse(exchange.answerBytes()).path("firstOffset").asInt();
    }

    private static String dataOf(JsonNode page, int index) {
        var data = page.path("entries").path(index).path("data").asText();
        return new String(Base64.getDecoder().decode(data), StandardCharsets.UTF_8);
    }
}
