package org.fescueport.internal.standin.vms;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.JsonNode;
import io.micrometer.core.instrument.MockClock;
import java.time.Duration;
import org.fescueport.internal.standin.BadRequestException;
import org.fescueport.internal.standin.FakeExchange;
import org.fescueport.internal.standin.FaultSwitch;
import org.fescueport.internal.standin.Faults;
import org.fescueport.internal.standin.FaultyHandler;
import org.fescueport.internal.standin.Json;
import org.jmock.lib.concurrent.DeterministicScheduler;
import org.junit.jupiter.api.Test;

class VmHandlerTest {
    private static final String VM =
            "{\"address\":\"127.0.0.1\",\"failureDomain\":\"a\",\"labels\":{\"role\":\"agent\"}}";

    private final MockClock mClock = new MockClock();
    private final FaultSwitch mFaults = FaultSwitch.create(Faults.none(), 7);
    private final VmHandler mVms = VmHandler.create(mClock, mFaults);

    @Test
    void shouldListWhatWasPut() throws BadRequestException {
        assertThat(put("vm-1", VM).status(), is(200));
        var vm = list().path(0);
        assertThat(vm.path("id").asText(), is("vm-1"));
        assertThat(vm.path("state").asText(), is("live"));
        assertThat(vm.at("/labels/role").asText(), is("agent"));
    }

    @Test
    void shouldLagBehind() throws BadRequestException {
        mFaults.change(Json.object().put("lagMillis", 1000));
        put("vm-1", VM);
        mClock.add(Duration.ofMillis(600));
        put("vm-1", VM.replace("{\"a", "{\"state\":\"leaving\",\"a"));
        mClock.add(Duration.ofMillis(399));
        assertThat(list().size(), is(0));
        mClock.add(Duration.ofMillis(1));
        assertThat(list().path(0).path("state").asText(), is("live"));
        mClock.add(Duration.ofMillis(600));
        assertThat(list().path(0).path("state").asText(), is("leaving"));
    }

    @Test
    void shouldForgetADeletedVm() throws BadRequestException {
        put("vm-1", VM);
        mVms.handle(FakeExchange.of("DELETE", "/v1/vms/vm-1"));
        assertThat(list().size(), is(0));
    }

    @Test
    void shouldRefuseAnUnknownState() {
        assertThat(put("vm-1", VM.replace("{\"a", "{\"state\":\"x\",\"a")).status(), is(400));
    }

    @Test
    void shouldTakeWhatATesterPutsInAnOutage() throws BadRequestException {
        mFaults.change(Json.object().put("outage", true));
        var scheduler = new DeterministicScheduler();
        var faulty = FaultyHandler.create(mVms, mFaults, scheduler, "unavailable");
        var put = FakeExchange.of("PUT", "/v1/vms/vm-1").body(VM);
        faulty.handle(put);
        var get = FakeExchange.of("GET", "/v1/vms");
        faulty.handle(get);
        assertThat(put.status(), is(200));
        assertThat(get.status(), is(503));
    }

    private FakeExchange put(String id, String body) {
        var exchange = FakeExchange.of("PUT", "/v1/vms/" + id).body(body);
        mVms.handle(exchange);
        return exchange;
    }

    private JsonNode list() throws BadRequestException {
        var exchange = FakeExchange.of("GET", "/v1/vms");
        mVms.handle(exchange);
        return Json.parse(exchange.answerBytes()).path("vms");
    }
}
