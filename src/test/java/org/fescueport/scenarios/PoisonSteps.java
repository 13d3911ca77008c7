package org.fescueport.scenarios;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Steps on requests that backend servers die of. */
public final class PoisonSteps {
    private static final int PAUSE_MILLIS = 300;

    private HttpResponse<String> mLast;

    @Given("every engine dies of the word {string}")
    public void poison(String word) {
        for (var vm : FleetSteps.fleet().vms("engine")) {
            Http.put(vm.backendUrl() + "/v1/faults", "{\"crashOn\":\"" + word + "\"}");
        }
    }

    @When("a caller sends {string} {int} times through the routers in turn")
    public void sendAgain(String text, int times) throws InterruptedException {
        int routers = FleetSteps.fleet().routers().size();
        for (int i = 0; i < times; i++) {
            mLast = send(text, 1 + i % routers);
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
    }

    @Then("at most {int} engines are dead")
    public void dead(int most) {
        long dead =
                FleetSteps.fleet().vms("engine").stream()
                        .filter(vm -> !vm.engine().isAlive())
                        .count();
        assertThat("dead engines", dead, lessThanOrEqualTo((long) most));
    }

    @Then("the last sending was refused as not run")
    public void refused() {
        assertThat(
                mLast.body(),
                mLast.headers().firstValue("Fescue-Outcome").orElse(""),
                is("not_run"));
    }

    private static HttpResponse<String> send(String text, int router) {
        var body = Http.JSON.createObjectNode();
        body.put("model", Fleet.MODEL).put("max_tokens", 20);
        body.putArray("messages").addObject().put("role", "user").put("content", text);
        var url = FleetSteps.fleet().router(router).url() + "/v1/chat/completions";
        var headers = Map.of("Authorization", ChatSteps.KEY, "Fescue-Chat", "poison");
        return Http.send("POST", url, body.toString(), headers).join();
    }
}
