package org.fescueport.scenarios;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Steps on when a published change is in force. */
public final class ConfigSteps {
    private static final long LOOK_MILLIS = 20;
    private static final long PUBLISH_SECONDS = 30;
    private static final long STAYS_MILLIS = 3_000;

    private final Map<Program, String> mAdminUrls = new HashMap<>();
    private long mVersion;
    private long mReadAtNanos;

    @When("the log is cut off from every second router")
    public void cutOffTheLog() {
        fleet().cutLogProxy();
    }

    @When("{string} is published and read by one node")
    public void publish(String artifact) throws InterruptedException {
        long before = newestOf(nodes());
        var publisher = fleet().startPublishing(artifact);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PUBLISH_SECONDS);
        while ((mVersion = newestOf(nodes())) == before) {
            assertThat("time left to publish", end - System.nanoTime(), greaterThan(0L));
            Thread.sleep(LOOK_MILLIS);
        }
        mReadAtNanos = System.nanoTime();
        assertThat("exit code of publish", publisher.awaitExit(PUBLISH_SECONDS), is(0));
    }

    @Then("it is in force on every router within {int} seconds and stays so")
    public void isInForce(int seconds) throws InterruptedException {
        long end = mReadAtNanos + TimeUnit.SECONDS.toNanos(seconds);
        while (oldestOf(routers()) < mVersion) {
            assertThat("time left", end - System.nanoTime(), greaterThan(0L));
            Thread.sleep(LOOK_MILLIS);
        }
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mReadAtNanos);
        System.out.println("in force on every router " + millis + " ms after its first reader");
        long stays = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(STAYS_MILLIS);
        while (System.nanoTime() - stays < 0) {
            assertThat("version in force", oldestOf(routers()), is(mVersion));
            Thread.sleep(LOOK_MILLIS);
        }
    }

    private long newestOf(List<Program> nodes) throws InterruptedException {
        long newest = 0;
        for (var node : nodes) {
            newest = Math.max(newest, versionOf(node));
        }
        return newest;
    }

    private long oldestOf(List<Program> nodes) throws InterruptedException {
        long oldest = Long.MAX_VALUE;
        for (var node : nodes) {
            oldest = Math.min(oldest, versionOf(node));
        }
        return oldest;
    }

    private long versionOf(Program node) throws InterruptedException {
        var url = mAdminUrls.get(node);
        if (url == null) {
            url = FleetSteps.fleet().admins().get(node.name());
            mAdminUrls.put(node, url);
        }
        return Http.get(url + "/v1/status").path("configVersion").asLong();
    }

    private static List<Program> nodes() {
        var nodes = new ArrayList<>(routers());
        fleet().vms("engine").forEach(vm -> nodes.add(vm.agent()));
        return nodes;
    }

    private static List<Program> routers() {
        return fleet().routers().stream().map(Fleet.Router::program).toList();
    }

    private static Fleet fleet() {
        return FleetSteps.fleet();
    }
}
