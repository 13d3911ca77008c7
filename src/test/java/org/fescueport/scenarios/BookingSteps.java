package org.fescueport.scenarios;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Steps of drivers that book a slot, which may not be repeated. */
public final class BookingSteps {
    private static final String AUTHORIZATION = "Bearer demo-garage-key";
    private static final String SLOT = "{\"slot\":\"tomorrow 9:00\"}";
    private static final String OPERATION = "/v1/services/" + Fleet.SERVICE + "/reserve";
    private static final int AT_ONCE_MILLIS = 2000;

    private final List<String> mOwned = new ArrayList<>();
    private String mKey = "";
    private CompletableFuture<HttpResponse<String>> mFirst;
    private CompletableFuture<HttpResponse<String>> mLast;
    private long mLastMillis;

    @When("a driver books a slot with a new key through router {int}")
    public void bookNew(int router) {
        mKey = newKey();
        mFirst = book(router);
        mLast = mFirst;
    }

    @When("the driver books again with the same key through router {int}")
    public void bookAgain(int router) {
        mLast = book(router);
    }

    @When("the driver asks router {int} for an owner-bound key and books with it")
    public void bookOwnerBound(int router) {
        askKey(router);
        mKey = mOwned.getLast();
        mFirst = book(router);
        mLast = mFirst;
    }

    @When("the driver books with the first key through router {int}")
    public void bookWithFirst(int router) {
        mKey = mOwned.getFirst();
        mLast = book(router);
    }

    @When("the driver books with the second key through router {int}")
    public void bookWithSecond(int router) {
        mKey = mOwned.get(1);
        mLast = book(router);
    }

    @Then("the booking is refused as invalid")
    public void refused() {
        assertThat(mLast.join().body(), mLast.join().statusCode(), is(400));
        assertThat(outcomeOf(mLast.join()), is("not_run"));
    }

    @When("the driver asks router {int} for one more")
    public void askAnotherKey(int router) {
        askKey(router);
    }

    @When("the driver asks router {int} for an owner-bound key")
    public void askKey(int router) {
        var url = FleetSteps.fleet().router(router).url() + OPERATION + "/keys";
        var answer = Http.send("POST", url, "", Map.of("Authorization", AUTHORIZATION)).join();
        assertThat(answer.body(), answer.statusCode(), is(201));
        mOwned.add(Http.json(answer.body()).path("idempotencyKey").asText());
    }

    @When("a service has begun to run the booking")
    public void awaitRun() throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (runs() == 0) {
            assertThat("a service runs the booking in time", System.nanoTime(), lessThan(end));
            Thread.sleep(10);
        }
    }

    @When("the agent of the service that runs it is killed")
    public void killAgent() throws InterruptedException {
        for (var vm : FleetSteps.fleet().vms("service")) {
            if (runsAt(vm) > 0) {
                vm.agent().kill();
            }
        }
    }

    @Then("the booking is confirmed")
    public void confirmed() {
        var response = mLast.join();
        assertThat(response.body(), response.statusCode(), is(200));
    }

    @Then("both answers are the same")
    public void sameAnswers() {
        assertThat(mLast.join().body(), is(mFirst.join().body()));
    }

    @Then("the outcome that the driver is told is {string}")
    public void outcome(String expected) {
        assertThat(mLast.join().body(), outcomeOf(mLast.join()), is(expected));
    }

    @Then("the outcome that the driver is told is {string} or {string}")
    public void outcome(String one, String other) {
        assertThat(mLast.join().body(), outcomeOf(mLast.join()), is(anyOf(is(one), is(other))));
    }

    @Then("the driver is told at once, and when to come back")
    public void toldAtOnce() {
        var retryAfter = mLast.join().headers().firstValue("Retry-After").orElse("");
        assertThat("Retry-After", retryAfter, is(not("")));
        assertThat("millis until the answer", mLastMillis, is(lessThan((long) AT_ONCE_MILLIS)));
    }

    @Then("the booking ran {int} time(s)")
    public void ran(int times) {
        assertThat(runs(), is(times));
    }

    private int runs() {
        return FleetSteps.fleet().vms("service").stream().mapToInt(this::runsAt).sum();
    }

    /** Counts all calls, since an owner-bound key need not reach the service as it is. */
    private int runsAt(Fleet.Vm vm) {
        return Http.get(vm.backendUrl() + "/v1/stats").path("calls").asInt();
    }

    private CompletableFuture<HttpResponse<String>> book(int router) {
        var headers = new HashMap<String, String>();
        headers.put("Authorization", AUTHORIZATION);
        headers.put("Idempotency-Key", mKey);
        headers.put("Content-Type", "application/json");
        var url = FleetSteps.fleet().router(router).url() + OPERATION;
        long start = System.nanoTime();
        return Http.send("POST", url, SLOT, headers)
                .whenComplete(
                        (response, failure) ->
                                mLastMillis =
                                        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start));
    }

    private static String outcomeOf(HttpResponse<String> response) {
        return response.headers().firstValue("Fescue-Outcome").orElse("none");
    }

    /** Returns a UUIDv7 of now. */
    private static String newKey() {
        var random = UUID.randomUUID();
        long high = System.currentTimeMillis() << 16 | 0x7000;
        high |= random.getMostSignificantBits() & 0xFFF;
        return new UUID(high, random.getLeastSignificantBits()).toString();
    }
}
