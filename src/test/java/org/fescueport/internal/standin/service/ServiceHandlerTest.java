package org.fescueport.internal.standin.service;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.standin.BadRequestException;
import org.fescueport.internal.standin.FakeExchange;
import org.fescueport.internal.standin.FaultSwitch;
import org.fescueport.internal.standin.Faults;
import org.fescueport.internal.standin.Json;
import org.jmock.lib.concurrent.DeterministicScheduler;
import org.junit.jupiter.api.Test;

class ServiceHandlerTest {
    private final DeterministicScheduler mScheduler = new DeterministicScheduler();
    private final FaultSwitch mFaults = FaultSwitch.create(Faults.none(), 7);
    private final ServiceHandler mService = ServiceHandler.create(mScheduler, mFaults);

    @Test
    void shouldCountTheRunsOfEachKey() {
        book("k1");
        book("k1");
        book("k2");
        var runs = FakeExchange.of("GET", "/v1/runs");
        mService.handle(runs);
        assertThat(runs.answer(), is("{\"k1\":2,\"k2\":1}"));
    }

    @Test
    void shouldAnswerAfterItsDelayButCountAtOnce() throws BadRequestException {
        mFaults.change(Json.object().put("delayMillis", 300));
        var exchange = book("k1");
        mScheduler.tick(299, TimeUnit.MILLISECONDS);
        assertThat(exchange.isEnded(), is(false));
        assertThat(mService.isIdle(), is(false));
        mScheduler.tick(1, TimeUnit.MILLISECONDS);
        var body = "slot 9".getBytes(StandardCharsets.UTF_8);
        assertThat(exchange.answer(), containsString(ServiceHandler.answerFor("book", body)));
    }

    private FakeExchange book(String key) {
        var exchange =
                FakeExchange.of("POST", "/book").body("slot 9").withHeader("Idempotency-Key", key);
        mService.handle(exchange);
        return exchange;
    }
}
