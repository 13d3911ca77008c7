package org.fescueport.scenarios;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/** Steps on the certificates of a fleet. */
public final class TlsSteps {
    private static final long LOOK_SECONDS = 20;
    private static final long CHECK_MILLIS = 100;

    private FleetTls mTls;

    @Given("a fleet of {int} router(s) and {int} engine(s) with TLS")
    public void start(int routers, int engines) throws InterruptedException, IOException {
        mTls = FleetTls.create();
        FleetSteps.start(
                new Fleet.Size(routers, engines, 0, false, false),
                Optional.of(mTls),
                Optional.empty());
    }

    @When("all certificates are renewed")
    public void renew() throws InterruptedException {
        mTls.renew();
        for (var admin : FleetSteps.fleet().admins().entrySet()) {
            boolean isRouter = admin.getKey().startsWith("router");
            awaitCount(admin.getValue(), "result=\"taken\",use=\"fleet\"", "tls_renewals_total", 1);
            if (isRouter) {
                var callers = "result=\"taken\",use=\"callers\"";
                awaitCount(admin.getValue(), callers, "tls_renewals_total", 1);
            }
        }
    }

    @Then("the agent of {word} shows its new certificate")
    public void showsNew(String vm) throws Exception {
        var shown = mTls.shownAt(FleetSteps.fleet().vm(vm).agentPort());
        assertThat(shown, is(mTls.certificateOf(vm)));
    }

    @Then("a stranger is refused by the agent of {word} and counted")
    public void refusesStranger(String vm) throws Exception {
        var fleet = FleetSteps.fleet();
        assertThat("refused", mTls.isStrangerRefusedAt(fleet.vm(vm).agentPort()), is(true));
        var admin = fleet.admins().get("agent-" + vm);
        awaitCount(admin, "reason=\"certificate\"", "tls_peers_refused_total", 1);
    }

    private static void awaitCount(String admin, String tags, String name, int count)
            throws InterruptedException {
        var line = Pattern.compile(name + "\\{" + tags + "\\} " + count + "\\.0");
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LOOK_SECONDS);
        while (!line.matcher(metrics(admin)).find()) {
            if (System.nanoTime() > end) {
                throw new AssertionError(admin + " has no " + line + " in " + metrics(admin));
            }
            Thread.sleep(CHECK_MILLIS);
        }
    }

    private static String metrics(String admin) {
        return Http.send("GET", admin + "/metrics", "", Map.of()).join().body();
    }
}
