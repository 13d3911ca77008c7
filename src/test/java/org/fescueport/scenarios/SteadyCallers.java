package org.fescueport.scenarios;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueport.internal.standin.engine.KnownAnswer;

/** Callers that ask all the time, and a look at which engines serve meanwhile. */
final class SteadyCallers implements AutoCloseable {
    private static final int CALLERS = 4;
    private static final int TOKENS = 20;
    private static final long LOOK_MILLIS = 50;

    private final Fleet mFleet;
    private final List<Thread> mThreads = new ArrayList<>();
    private final AtomicInteger mAnswers = new AtomicInteger();
    private final List<String> mFailures = new CopyOnWriteArrayList<>();
    private volatile int mLeastServing = Integer.MAX_VALUE;
    private volatile int mMostLoading;
    private volatile boolean mStopped;

    private SteadyCallers(Fleet fleet) {
        mFleet = fleet;
    }

    static SteadyCallers start(Fleet fleet) {
        var callers = new SteadyCallers(fleet);
        for (int i = 0; i < CALLERS; i++) {
            int caller = i;
            callers.mThreads.add(Thread.ofVirtual().start(() -> callers.ask(caller)));
        }
        callers.mThreads.add(Thread.ofVirtual().start(callers::look));
        return callers;
    }

    int answers() {
        return mAnswers.get();
    }

    List<String> failures() {
        return mFailures;
    }

    int leastServing() {
        return mLeastServing;
    }

    int mostLoading() {
        return mMostLoading;
    }

    static String versionOf(Fleet.Vm vm) {
        return Http.get(vm.backendUrl() + "/v1/load").path("version").asText();
    }

    @Override
    public void close() {
        mStopped = true;
        try {
            for (var thread : mThreads) {
                thread.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void ask(int caller) {
        for (int i = 0; !mStopped; i++) {
            var text = "What of gauge " + caller + "-" + i + " at the dam of Chixoy?";
            var router = mFleet.routers().get(i % mFleet.routers().size());
            try {
                check(text, router);
            } catch (CompletionException e) {
                mFailures.add(text + " " + e.getMessage());
            }
        }
    }

    private void check(String text, Fleet.Router router) {
        var body = Http.JSON.createObjectNode();
        body.put("model", Fleet.MODEL).put("max_tokens", TOKENS);
        body.putArray("messages").addObject().put("role", "user").put("content", text);
        var headers = Map.of("Authorization", ChatSteps.KEY, "Fescue-Chat", text);
        var url = router.url() + "/v1/chat/completions";
        var answer = Http.send("POST", url, body.toString(), headers).join();
        mAnswers.incrementAndGet();
        var whole = KnownAnswer.textFor(text, TOKENS);
        if (answer.statusCode() != 200
                || !Http.json(answer.body())
                        .at("/choices/0/message/content")
                        .asText()
                        .equals(whole)) {
            mFailures.add(answer.statusCode() + " " + answer.body());
        }
    }

    /** Engines that have nothing loaded are empty before their first order, and then load. */
    private void look() {
        while (!mStopped) {
            int serving = 0;
            int loading = 0;
            for (var vm : mFleet.vms("engine")) {
                var isServing = !versionOf(vm).isEmpty();
                serving += isServing ? 1 : 0;
                boolean wasOrdered =
                        !Http.get(vm.backendUrl() + "/v1/orders").at("/orders/0").isMissingNode();
                loading += !isServing && wasOrdered ? 1 : 0;
            }
            mLeastServing = Math.min(mLeastServing, serving);
            mMostLoading = Math.max(mMostLoading, loading);
            try {
                Thread.sleep(LOOK_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }
}
