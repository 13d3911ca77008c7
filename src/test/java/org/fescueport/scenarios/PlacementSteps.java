package org.fescueport.scenarios;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.fescueport.internal.wire.generated.OrderAnswer;
import org.fescueport.internal.wire.generated.OrderFate;

/** Steps on which engine serves what, and on who may order it. */
public final class PlacementSteps {
    private static final long LOAD_MILLIS = 1_500;
    private static final long LOOK_MILLIS = 50;
    private static final long LEASE_SECONDS = 60;

    private final Map<String, String> mAdminUrls = new HashMap<>();
    private final List<OrderAnswer> mLateAnswers = new ArrayList<>();
    private SteadyCallers mCallers;
    private Fleet.Vm mHolder;
    private long mToken;

    @Given(
            "a fleet of {int} routers and {int} engines that {word} tokens,"
                    + " {int} of them with {string}")
    public void start(int routers, int engines, String check, int loaded, String artifact)
            throws InterruptedException {
        var placement = new Fleet.Placement(check.equals("check"), loaded, artifact, LOAD_MILLIS);
        FleetSteps.start(
                new Fleet.Size(routers, engines, 0, true, false),
                Fleet.NodeFlags.NONE,
                Optional.of(placement));
    }

    @After(order = 20_000)
    public void stopCallers() {
        if (mCallers != null) {
            mCallers.close();
        }
    }

    @When("callers ask all the time")
    public void askAllTheTime() {
        mCallers = SteadyCallers.start(fleet());
    }

    @When("{string} is published")
    public void publish(String artifact) throws InterruptedException {
        fleet().publishArtifact(artifact);
    }

    @When("an agent has held the lease for placement for {int} seconds")
    public void awaitHolder(int seconds) throws InterruptedException {
        mHolder = awaitHolderBut(null);
        TimeUnit.SECONDS.sleep(seconds);
    }

    @When("another agent of a loaded engine is lost with it")
    public void loseAnother() throws InterruptedException {
        for (var vm : engines()) {
            if (vm != mHolder && !SteadyCallers.versionOf(vm).isEmpty()) {
                vm.agent().kill();
                vm.engine().kill();
                return;
            }
        }
    }

    @When("the holder of the lease for placement is frozen until another holds it")
    public void freezeHolder() throws InterruptedException {
        mHolder = awaitHolderBut(null);
        mToken = tokenOf(mHolder);
        mHolder.agent().freeze();
        awaitHolderBut(mHolder);
    }

    @When("the frozen holder wakes up")
    public void wakeHolder() {
        mHolder.agent().wake();
    }

    @When("its order to load {string} reaches every agent late")
    public void orderLate(String artifact) {
        for (var vm : engines()) {
            if (vm != mHolder) {
                mLateAnswers.add(LateOrder.send(vm.agentPort(), artifact, mToken));
            }
        }
    }

    @Then("every agent has refused it")
    public void allRefused() {
        assertThat("answers", mLateAnswers.size(), is(engines().size() - 1));
        for (var answer : mLateAnswers) {
            assertThat(answer.getDetail(), answer.getFate(), is(OrderFate.ORDER_REFUSED));
        }
    }

    @Then("{int} engines serve {string} and {int} serve {string} within {int} seconds")
    public void serve(int count, String artifact, int others, String other, int seconds)
            throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        while (serving(artifact) != count || serving(other) != others) {
            if (System.nanoTime() - end > 0) {
                assertThat(artifact, serving(artifact), is((long) count));
                assertThat(other, serving(other), is((long) others));
            }
            Thread.sleep(LOOK_MILLIS);
        }
    }

    @Then("at least {int} engines served at every moment")
    public void servedAllTheTime(int least) {
        assertThat("engines that served", mCallers.leastServing(), greaterThanOrEqualTo(least));
    }

    @Then("every caller got a whole answer")
    public void allWhole() {
        mCallers.close();
        assertThat("answers", mCallers.answers(), greaterThan(100));
        assertThat("answers that were not whole", mCallers.failures(), is(empty()));
    }

    @Then("no order cut an answer off")
    public void cutNothingOff() {
        for (var vm : engines()) {
            assertThat(vm.name(), orders(vm).path("cutOff").asInt(), is(0));
        }
    }

    @Then("the agents' orders came one load time apart")
    public void staggered() {
        assertThat("engines that loaded at once", mCallers.mostLoading(), is(1));
    }

    @Then("{word} has carried out {int} order")
    public void carriedOut(String name, int count) {
        assertThat(name, orders(fleet().vm(name)).path("orders").size(), is(count));
    }

    @Then("no engine carried out an older token after a newer one")
    public void tokensRise() {
        for (var vm : engines()) {
            long newest = 0;
            for (var order : orders(vm).path("orders")) {
                long token = order.path("fencingToken").asLong();
                assertThat(vm.name() + " " + order, token, greaterThanOrEqualTo(newest));
                newest = token;
            }
        }
    }

    @Then("the log takes at most {int} append a second over {int} seconds")
    public void appendsFew(int most, int seconds) throws InterruptedException {
        long before = fleet().logAppends();
        TimeUnit.SECONDS.sleep(seconds);
        long appends = fleet().logAppends() - before;
        System.out.println(appends + " appends in " + seconds + " s");
        assertThat("appends", appends, lessThanOrEqualTo((long) most * seconds));
    }

    private Fleet.Vm awaitHolderBut(Fleet.Vm former) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LEASE_SECONDS);
        while (System.nanoTime() - end < 0) {
            for (var vm : engines()) {
                if (vm != former && tokenOf(vm) > 0) {
                    return vm;
                }
            }
            Thread.sleep(LOOK_MILLIS);
        }
        throw new AssertionError("no agent holds the lease for placement");
    }

    private long tokenOf(Fleet.Vm vm) throws InterruptedException {
        var url = mAdminUrls.get(vm.name());
        if (url == null) {
            url = FleetSteps.fleet().admins().get(vm.agent().name());
            mAdminUrls.put(vm.name(), url);
        }
        var metrics = Http.send("GET", url + "/metrics", "", Map.of()).join().body();
        return metrics.lines()
                .filter(line -> line.startsWith("placement_token"))
                .mapToLong(line -> (long) Double.parseDouble(line.split(" ")[1]))
                .findFirst()
                .orElse(0);
    }

    private static long serving(String artifact) {
        return engines().stream()
                .filter(vm -> vm.engine().isAlive())
                .filter(vm -> SteadyCallers.versionOf(vm).equals(artifact))
                .count();
    }

    private static com.fasterxml.jackson.databind.JsonNode orders(Fleet.Vm vm) {
        return Http.get(vm.backendUrl() + "/v1/orders");
    }

    private static List<Fleet.Vm> engines() {
        return fleet().vms("engine");
    }

    private static Fleet fleet() {
        return FleetSteps.fleet();
    }
}
