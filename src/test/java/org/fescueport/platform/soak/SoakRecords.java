package org.fescueport.platform.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueport.platform.RawCaller;
import org.fescueport.platform.RawServer;

/** What callers sent and got, and what replicas ran; finds what breaks a promise. */
final class SoakRecords {
    private record Asked(String path, boolean once) {}

    private final Map<String, Asked> mAsked = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> mRuns = new ConcurrentHashMap<>();
    private final Map<String, Integer> mStatus = new ConcurrentHashMap<>();
    private final Map<String, Long> mLastArrival = new ConcurrentHashMap<>();
    private final Map<String, Long> mDepartedNanos = new ConcurrentHashMap<>();
    private final List<String> mBroken = new ArrayList<>();
    private final AtomicInteger mCalmAsked = new AtomicInteger();
    private final AtomicInteger mCalmServed = new AtomicInteger();
    private final AtomicInteger mServed = new AtomicInteger();
    private volatile boolean mCalm;

    void calm(boolean calm) {
        mCalm = calm;
    }

    void onAsked(String id, String path) {
        mAsked.put(id, new Asked(path, path.startsWith("/unsafe/")));
    }

    void onRun(String id, String replica, RawServer.Request request) {
        mLastArrival.put(replica, System.nanoTime());
        if (System.nanoTime() - mDepartedNanos.getOrDefault(replica, Long.MAX_VALUE) > 0) {
            broken(replica + " has left and is sent " + id);
        }
        Asked asked = id == null ? null : mAsked.get(id);
        if (asked == null || !asked.path().equals(request.target())) {
            broken("a replica runs what nobody asked: " + id + " " + request.target());
            return;
        }
        if (request.header("Authorization") != null) {
            broken("a replica is shown the key of " + id);
        }
        if (!"dam-operators".equals(request.header("Fescueport-Tenant"))) {
            broken("a replica is told another team for " + id);
        }
        int runs = mRuns.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        if (asked.once() && runs > 1) {
            broken(id + " may run once and has run " + runs + " times");
        }
    }

    void onAnswer(String id, RawCaller.Answer answer) {
        mStatus.put(id, answer.status());
        boolean served = answer.status() == 200 && answer.complete();
        if (mCalm) {
            mCalmAsked.incrementAndGet();
            mCalmServed.addAndGet(served ? 1 : 0);
        }
        if (!served) {
            return;
        }
        mServed.incrementAndGet();
        String expected =
                mAsked.get(id).path().startsWith("/stream/")
                        ? wholeStream(id)
                        : SoakReplica.bodyFor(id);
        if (!answer.body().equals(expected) || !id.equals(answer.header("Fescueport-Attempt-Id"))) {
            broken(id + " got another body as complete: " + answer.body());
        }
    }

    /** From this time on the replica must be sent nothing any more. */
    void onDeparted(String replica, long nanos) {
        mDepartedNanos.put(replica, nanos);
    }

    /** Returns when a request last reached a replica, by the steady clock; 0 for never. */
    long lastArrivalNanos(String replica) {
        return mLastArrival.getOrDefault(replica, 0L);
    }

    /** Checks what can be told only at the end. */
    void finish() {
        mStatus.forEach(
                (id, status) -> {
                    boolean promised = status == 503 || status == 429 || status == 408;
                    if (promised && mAsked.get(id).once() && mRuns.containsKey(id)) {
                        broken(id + " was said not to have run, and has");
                    }
                });
    }

    synchronized void broken(String what) {
        mBroken.add(what);
    }

    synchronized List<String> allBroken() {
        return List.copyOf(mBroken);
    }

    int served() {
        return mServed.get();
    }

    double calmShare() {
        return mCalmAsked.get() == 0 ? 1 : (double) mCalmServed.get() / mCalmAsked.get();
    }

    private static String wholeStream(String id) {
        var text = new StringBuilder();
        for (int number = 1; number <= SoakReplica.EVENTS; number++) {
            text.append(SoakReplica.event(id, number));
        }
        return text.toString();
    }
}
