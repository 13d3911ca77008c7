import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request that crashes each replica which begins to run it comes again and again, while the
 * routers are stopped and started in turn, as for a new release.
 *
 * <p>Rule BUDGET: such a request reaches replicas in no more than three retries that machines in
 * touch send later than {@code stable_window_ms} after it has crashed the third replica.
 */
public final class PoisonAfterRestarts {
    private static final int ROUTERS = 3;
    private static final int REPLICAS = 3;
    private static final int SLOTS = 6;
    private static final long WORK_MILLIS = 60;
    private static final long BACK_AFTER_MILLIS = 2_500;
    private static final long GRACE_MILLIS = 8_000;
    private static final long STABLE_WINDOW_NANOS = 3_000_000_000L;
    private static final int MAX_RETRIES = 3;
    private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

    /** As in the site file inec-niveles. */
    private static final String BOUNDS =
            """
            {"stable_window_ms":3000,"drain_ms":2000,"grace_s":8,"config_ms":2000,
             "outer_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":56,
             "recover_s":12,"cap_factor":2}""";

    private static final String CONFIGURATION =
            """
            {"version":1,"routes":[
             {"name":"notices","hostname":"h.example","path_prefix":"/notice/",
              "route_type":"unsafe","timeout_ms":800,"target_latency_ms":300,"priority":2,
              "service":"avisos","max_attempts":1,"public":false}],
             "services":[{"name":"avisos","health_path":"/healthz","max_conns":110,
              "protocol":"h1","tls":false}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
              "header_timeout_ms":3000,"idle_timeout_ms":15000},
             "tenants":[{"name":"board","api_keys":["key-1"],"priority":1}]}""";

    /** One send of the poison request. */
    private record Send(String id, Router router, long sentNanos) {}

    private final Log mLog;
    private final boolean mTrouble;
    private final List<Router> mRouters;
    private final List<Replica> mReplicas;
    private final Map<Router, Long> mStartedNanos = new HashMap<>();
    private final List<Send> mSends = new ArrayList<>();
    private final AtomicInteger mNextId = new AtomicInteger();
    private final AtomicBoolean mBusy = new AtomicBoolean(true);
    private final AtomicInteger mOthersFailed = new AtomicInteger();
    private final AtomicInteger mOthersServed = new AtomicInteger();

    private PoisonAfterRestarts(
            Log log, boolean trouble, List<Router> routers, List<Replica> replicas) {
        mLog = log;
        mTrouble = trouble;
        mRouters = routers;
        mReplicas = replicas;
    }

    /** Arguments: the file of the record, and 1 with the disruption or 0 without it. */
    public static void main(String[] arguments) throws Exception {
        Path folder = Files.createTempDirectory("review-2-");
        int result = 2;
        List<Router> routers = new ArrayList<>();
        List<Replica> replicas = new ArrayList<>();
        try (var log = new Log(Path.of(arguments[0]));
                var store = Store.start()) {
            try {
                store.put("keyed.op", "config", CONFIGURATION);
                for (int i = 0; i < REPLICAS; i++) {
                    replicas.add(
                            new Replica(
                                    store, "avisos", ZONES.get(i), SLOTS, WORK_MILLIS,
                                    BACK_AFTER_MILLIS, log));
                }
                routers = Router.create(ROUTERS, folder, ZONES, store.port(), BOUNDS, log);
                var test =
                        new PoisonAfterRestarts(log, arguments[1].equals("1"), routers, replicas);
                result = test.run();
                log.line("result %d", result);
            } catch (Exception e) {
                log.line("the case can't run: %s", e);
            }
        } finally {
            for (Router router : routers) {
                router.close();
            }
            replicas.forEach(Replica::close);
        }
        System.exit(result);
    }

    private int run() throws Exception {
        for (Router router : mRouters) {
            router.start();
        }
        for (Router router : mRouters) {
            if (!router.awaitReady()) {
                return 2;
            }
            mStartedNanos.put(router, System.nanoTime());
        }
        Thread.sleep(4_000);
        Thread others = Thread.ofVirtual().start(this::sendOthers);
        // It becomes known: two replicas crash, at two routers.
        for (Router router : mRouters) {
            sendPoison(router);
            Thread.sleep(3_200);
        }
        mLog.line("from here on every router should refuse it");
        for (Router router : mRouters) {
            sendPoison(router);
        }
        for (Router router : mRouters) {
            if (mTrouble) {
                router.terminate(GRACE_MILLIS);
                Thread.sleep(500);
                router.start();
                if (!router.awaitReady()) {
                    return 2;
                }
                mStartedNanos.put(router, System.nanoTime());
            }
            Thread.sleep(3_500);
            for (int i = 0; i < 3; i++) {
                sendPoison(router);
                Thread.sleep(3_200);
            }
        }
        mBusy.set(false);
        others.join();
        return judge();
    }

    private void sendPoison(Router router) {
        String id = "p-" + mNextId.incrementAndGet();
        long now = System.nanoTime();
        mSends.add(new Send(id, router, now));
        int status = Consumer.send(router.frontend(), request(id, Replica.POISON), 1_500);
        mLog.line("poison request %s at %s: answered %s", id, router.name(), text(status));
    }

    /** Other consumers, some twenty requests a second at the routers in turn. */
    private void sendOthers() {
        for (int i = 0; mBusy.get(); i++) {
            Router router = mRouters.get(i % ROUTERS);
            String id = "o-" + mNextId.incrementAndGet();
            Thread.ofVirtual().start(() -> sendOther(router, id));
            try {
                Thread.sleep(25);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void sendOther(Router router, String id) {
        if (!router.isAlive()) {
            return;
        }
        int status = Consumer.send(router.frontend(), request(id, "notice " + id), 1_500);
        mLog.line("other request %s at %s: answered %s", id, router.name(), text(status));
        if (status == 200) {
            mOthersServed.incrementAndGet();
        } else if (status == 502) {
            mOthersFailed.incrementAndGet();
        }
    }

    private static String request(String id, String body) {
        return "POST /notice/2f HTTP/1.1\r\nHost: h.example\r\nFescueport-Attempt-Id: "
                + id
                + "\r\nFescueport-Deadline-Ms: 1500\r\nAuthorization: Token key-1\r\nContent-Length: "
                + body.length()
                + "\r\nConnection: close\r\n\r\n"
                + body;
    }

    private static String text(int status) {
        return status == Consumer.NO_ANSWER ? "by the end of the connection" : Integer.toString(status);
    }

    private int judge() {
        List<Replica.Arrival> crashes =
                mReplicas.stream()
                        .flatMap(replica -> replica.arrivals().stream())
                        .filter(Replica.Arrival::poison)
                        .sorted(java.util.Comparator.comparingLong(Replica.Arrival::atNanos))
                        .toList();
        for (Replica replica : mReplicas) {
            for (Replica.Arrival run : replica.arrivals()) {
                mLog.line("%s ran at %s at %.3f s", run.id(), run.replica(), mLog.seconds(run.atNanos()));
            }
        }
        mLog.line("the request was sent %d times and has crashed %d replicas", mSends.size(), crashes.size());
        mLog.line(
                "other requests: %d served, %d answered 502 (outcome unknown)",
                mOthersServed.get(), mOthersFailed.get());
        if (crashes.size() < 3) {
            mLog.line("it never crashed a third replica: the rule holds");
            return 0;
        }
        long third = crashes.get(2).atNanos();
        int retries = 0;
        for (Replica.Arrival crash : crashes) {
            Send send =
                    mSends.stream().filter(s -> s.id().equals(crash.id())).findFirst().orElseThrow();
            boolean late = send.sentNanos() - third > STABLE_WINDOW_NANOS;
            boolean inTouch =
                    send.sentNanos() - startedAt(send) > STABLE_WINDOW_NANOS;
            retries += late && inTouch ? 1 : 0;
            mLog.line(
                    "%s ran at %s, sent by %s at %.3f s, in touch: %s, over 3 s after the third: %s",
                    crash.id(), crash.replica(), send.router().name(),
                    mLog.seconds(send.sentNanos()), inTouch, late);
        }
        mLog.line("retries that count: %d, allowed: %d", retries, MAX_RETRIES);
        return retries > MAX_RETRIES ? 1 : 0;
    }

    /** Returns when the router was started again, or long ago if that came after the send. */
    private long startedAt(Send send) {
        return mStartedNanos.get(send.router()) <= send.sentNanos()
                ? mStartedNanos.get(send.router())
                : Long.MIN_VALUE / 2;
    }
}
