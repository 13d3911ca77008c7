package org.fescueport.internal.load.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueport.internal.http.HttpCaller;

/** Picks routers as the platform's balancer does: in turn, those whose health check passes. */
final class Balancer {
    private static final long CHECK_MILLIS = 300;
    private static final Duration CHECK_TIMEOUT = Duration.ofMillis(1000);

    private final List<String> mUrls;
    private final HttpCaller mCaller;
    private final Map<String, Boolean> mHealthy = new ConcurrentHashMap<>();
    private final AtomicInteger mTurn = new AtomicInteger();

    private Balancer(List<String> urls, HttpCaller caller) {
        mUrls = List.copyOf(urls);
        mCaller = caller;
    }

    static Balancer start(List<String> urls, HttpCaller caller, ScheduledExecutorService timers) {
        var balancer = new Balancer(urls, caller);
        urls.forEach(url -> balancer.mHealthy.put(url, true));
        var unused =
                timers.scheduleWithFixedDelay(
                        balancer::check, 0, CHECK_MILLIS, TimeUnit.MILLISECONDS);
        return balancer;
    }

    /** Returns a router, not {@code other} where that can be helped. */
    String pickBut(String other) {
        var healthy = new ArrayList<>(mUrls);
        healthy.removeIf(url -> !mHealthy.get(url));
        if (healthy.isEmpty()) {
            healthy.addAll(mUrls);
        }
        if (healthy.size() > 1) {
            healthy.remove(other);
        }
        return healthy.get(Math.floorMod(mTurn.getAndIncrement(), healthy.size()));
    }

    /** A router refused a connection: it gets nothing until its next check. */
    void onRefused(String url) {
        mHealthy.put(url, false);
    }

    private void check() {
        for (String url : mUrls) {
            var request =
                    new HttpCaller.Request(
                            "GET", url + "/readyz", Map.of(), new byte[0], CHECK_TIMEOUT);
            mCaller.call(request)
                    .whenComplete(
                            (response, failure) ->
                                    mHealthy.put(url, failure == null && response.status() == 200));
        }
    }
}
