package org.fescueport.scenarios;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Steps on the fleet itself: starting, faults and planned stops. */
public final class FleetSteps {
    private static final int OUTAGE_SETTLE_MILLIS = 200;
    private static final int STOP_SECONDS = 30;
    private static Fleet sFleet;

    static Fleet fleet() {
        return sFleet;
    }

    static void start(Fleet.Size size, Optional<FleetTls> tls, Optional<Fleet.Placement> placement)
            throws InterruptedException {
        sFleet = Fleet.start(size, tls, placement);
    }

    @Given("a fleet of {int} router(s), {int} engine(s) and {int} service(s)")
    public void start(int routers, int engines, int services) throws InterruptedException {
        start(
                new Fleet.Size(routers, engines, services, false, false),
                Optional.empty(),
                Optional.empty());
    }

    @Given("a fleet of {int} router(s), {int} engine(s) as processes and {int} service(s)")
    public void startKillable(int routers, int engines, int services) throws InterruptedException {
        start(
                new Fleet.Size(routers, engines, services, true, false),
                Optional.empty(),
                Optional.empty());
    }

    @Given("a fleet of {int} router(s) and {int} engine(s) with proxies before the agents")
    public void startProxied(int routers, int engines) throws InterruptedException {
        start(new Fleet.Size(routers, engines, 0, false, true), Optional.empty(), Optional.empty());
    }

    @When("the connections between routers and agents are cut")
    public void cut() {
        sFleet.cutConnections();
    }

    @After
    public void stop() {
        if (sFleet != null) {
            sFleet.close();
            sFleet = null;
        }
    }

    @When("router {int} is killed")
    public void killRouter(int number) throws InterruptedException {
        sFleet.router(number).program().kill();
    }

    @When("router {int} is told to stop")
    public void stopRouter(int number) {
        sFleet.router(number).program().terminate();
    }

    @Then("router {int} ends by itself")
    public void routerEnds(int number) throws InterruptedException {
        int code = sFleet.router(number).program().awaitExit(STOP_SECONDS);
        assertThat("exit code of router " + number, code, is(0));
    }

    @When("the agent of {word} is told to stop")
    public void stopAgent(String vm) {
        sFleet.vm(vm).agent().terminate();
    }

    @Then("the agent of {word} ends by itself")
    public void agentEnds(String vm) throws InterruptedException {
        int code = sFleet.vm(vm).agent().awaitExit(STOP_SECONDS);
        assertThat("exit code of the agent of " + vm, code, is(0));
    }

    @Then("{word} had no answer broken off")
    public void brokeNothingOff(String name) {
        var stats = Http.get(sFleet.vm(name).backendUrl() + "/v1/stats");
        assertThat("answers broken off", stats.path("cancelled").asInt(), is(0));
        assertThat("requests", stats.path("completed"), is(stats.path("requests")));
    }

    @When("the list of VMs says that {word} is leaving")
    public void leave(String vm) {
        sFleet.list(sFleet.vm(vm), "leaving");
    }

    @When("the list of VMs says that every agent is leaving")
    public void leaveAll() {
        sFleet.vms("").forEach(vm -> sFleet.list(vm, "leaving"));
    }

    @Then("router {int} gets not ready")
    public void getsNotReady(int number) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(STOP_SECONDS);
        while (Fleet.isReady(sFleet.router(number))) {
            assertThat("time is left", System.nanoTime() < end, is(true));
            Thread.sleep(OUTAGE_SETTLE_MILLIS);
        }
    }

    @When("{int} seconds pass")
    public void pass(int seconds) throws InterruptedException {
        TimeUnit.SECONDS.sleep(seconds);
    }

    @When("the log is down")
    public void cutLog() throws InterruptedException {
        sFleet.setLogFaults("{\"outage\":true}");
        Thread.sleep(OUTAGE_SETTLE_MILLIS);
    }

    @When("service calls take {int} ms after their effect")
    public void delay(int millis) {
        for (var vm : sFleet.vms("service")) {
            Http.put(vm.backendUrl() + "/v1/faults", "{\"delayMillis\":" + millis + "}");
        }
    }

    /** Returns a count of the engine's requests, to see whether it gets new work. */
    static long requestsOf(Fleet.Vm vm) {
        return Http.get(vm.backendUrl() + "/v1/stats").path("requests").asLong();
    }

    @Then("the services ran nothing twice")
    public void ranNothingTwice() {
        for (var vm : sFleet.vms("service")) {
            var stats = Http.get(vm.backendUrl() + "/v1/stats");
            assertThat(vm.name(), stats.path("duplicateRuns").asInt(), is(0));
        }
    }
}
