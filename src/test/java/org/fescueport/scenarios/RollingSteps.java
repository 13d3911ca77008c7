package org.fescueport.scenarios;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import io.cucumber.java.After;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.fescueport.internal.standin.engine.KnownAnswer;

/** Steps of a fleet that is replaced node by node while callers go on chatting. */
public final class RollingSteps {
    private static final int LEAST_ANSWERS = 50;
    private static final int RETRY_MILLIS = 100;
    private static final int LEAST_TOKENS = 10;
    private static final int MOST_TOKENS = 100;
    private static final long MOST_MILLIS = 10_000;
    private static final String NOT_RUN = "status 503";

    private final List<Thread> mCallers = new ArrayList<>();
    private final List<String> mBroken = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger mWhole = new AtomicInteger();
    private final AtomicInteger mRefused = new AtomicInteger();
    private final AtomicLong mSlowestMillis = new AtomicLong();
    private volatile boolean mStopped;

    @When("{int} callers chat all the time, with seed {int}")
    public void chat(int callers, int seed) {
        for (int i = 0; i < callers; i++) {
            int caller = i;
            var random = new SplittableRandom(seed * 1000L + caller);
            mCallers.add(Thread.ofVirtual().start(() -> chatUntilStopped(caller, random)));
        }
    }

    /** Routers go first, so that each lives through the replacement of all agents. */
    @When("each router and each agent is replaced in turn")
    public void replaceAll() throws InterruptedException {
        for (int i = 1; i <= FleetSteps.fleet().routers().size(); i++) {
            FleetSteps.fleet().replaceRouter(i);
        }
        for (var vm : FleetSteps.fleet().vms("engine")) {
            FleetSteps.fleet().replaceAgent(vm.name());
        }
    }

    @Then("the callers are answered as before")
    public void answeredAsBefore() throws InterruptedException {
        int enough = mWhole.get() + 2 * mCallers.size();
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MOST_MILLIS);
        while (mWhole.get() < enough) {
            assertThat("answers go on in time", System.nanoTime(), lessThan(end));
            Thread.sleep(RETRY_MILLIS);
        }
    }

    @Then("every answer was whole and none was broken off")
    public void allWhole() throws InterruptedException {
        stop();
        System.out.printf(
                "rolling replacement: %s whole answers, %s refused and sent again, slowest %s ms%n",
                mWhole, mRefused, mSlowestMillis);
        assertThat("answers that were not whole", mBroken, is(empty()));
        assertThat("whole answers", mWhole.get(), greaterThan(LEAST_ANSWERS));
        assertThat("millis of the slowest", mSlowestMillis.get(), lessThan(MOST_MILLIS));
    }

    @After(order = 20_000)
    public void stop() throws InterruptedException {
        mStopped = true;
        for (var caller : mCallers) {
            caller.join();
        }
    }

    private void chatUntilStopped(int caller, SplittableRandom random) {
        try {
            for (int i = 0; !mStopped; i++) {
                int tokens = random.nextInt(LEAST_TOKENS, MOST_TOKENS);
                long start = System.nanoTime();
                ask("caller " + caller + " asks " + i, tokens, random);
                long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
                mSlowestMillis.accumulateAndGet(millis, Math::max);
            }
        } catch (InterruptedException | AssertionError e) {
            mBroken.add("caller " + caller + ": " + e);
        }
    }

    /** Asks until the answer is whole; only a refusal that says "not run" may come before it. */
    private void ask(String question, int tokens, SplittableRandom random)
            throws InterruptedException {
        var messages = Http.JSON.createArrayNode();
        messages.addObject().put("role", "user").put("content", question);
        var text = messages.toString();
        while (!mStopped) {
            var router = pick(random);
            var answer =
                    ChatStream.start(ChatSteps.request(router.url(), question, "", tokens, text));
            answer.awaitEnd();
            if (answer.isDone() && answer.text().equals(KnownAnswer.textFor(question, tokens))) {
                mWhole.incrementAndGet();
                return;
            }
            if (!answer.error().startsWith(NOT_RUN)) {
                mBroken.add(question + ": " + answer.error() + " after " + answer.text());
                return;
            }
            mRefused.incrementAndGet();
            Thread.sleep(RETRY_MILLIS);
        }
    }

    /** Picks as the platform's balancer does: a router whose health check passes. */
    private Fleet.Router pick(SplittableRandom random) throws InterruptedException {
        var routers = FleetSteps.fleet().routers();
        var router = routers.get(random.nextInt(routers.size()));
        while (!mStopped && !isReady(router)) {
            Thread.sleep(RETRY_MILLIS);
            router = routers.get(random.nextInt(routers.size()));
        }
        return router;
    }

    private static boolean isReady(Fleet.Router router) {
        try {
            return Fleet.isReady(router);
        } catch (java.util.concurrent.CompletionException e) {
            return false;
        }
    }
}
