import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Routers are stopped and started in turn while one request comes again and again that crashes each
 * replica that begins to run it. Counts how often it still reaches a replica.
 */
final class PoisonCase {
    private static final int ROUTERS = 4;
    private static final int REPLICAS = 5;
    private static final long STABLE_MS = 3_000;
    private static final long GRACE_MS = 8_000;
    private static final long BACK_MS = 2_000;
    private static final int MAX_RETRIES = 3;
    private static final String CONFIGURATION =
            "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"hostname\":\"desk.example\",\"path_prefix\":\"/notice/\",\"route_type\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":386,\"priority\":1,\"service\":\"avisos\",\"max_attempts\":2,\"public\":false,\"session_affinity\":false}],\"services\":[{\"name\":\"avisos\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key1\"],\"priority\":1}]}";

    /** An arrival of the crashing request at a replica. */
    private record Crash(double at, String router, boolean inTouch) {}

    private final Stage mStage;
    private final Map<String, Router> mSentTo = new ConcurrentHashMap<>();
    private final Map<String, Boolean> mInTouch = new ConcurrentHashMap<>();
    private final List<Crash> mCrashes = new ArrayList<>();
    private final AtomicInteger mStarts = new AtomicInteger();

    private PoisonCase(Stage stage) {
        mStage = stage;
    }

    public static void main(String[] arguments) throws Exception {
        int code = Stage.NOT_RUN;
        try (var stage = new Stage(Path.of(arguments[0]), "", "", 3, "za", "zb", "zc", "za")) {
            code = new PoisonCase(stage).play();
        }
        System.exit(code);
    }

    private void startReplica(int number) {
        try {
            new Replica(
                    "i-" + number + "-" + mStarts.incrementAndGet(),
                    mStage.store,
                    "avisos",
                    "z" + "abc".charAt(number % 3),
                    6,
                    mStage.replicaAddress(number),
                    0,
                    (replica, request, out) -> run(replica, number, request, out),
                    (replica, request, runs) -> {});
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void run(Replica replica, int number, Http.Request request, java.io.OutputStream out)
            throws IOException {
        if (!request.path().equals("/notice/crash")) {
            Replica.pause(40);
            replica.answer(request, out, "done");
            return;
        }
        String id = request.header("Fescueport-Attempt-Id");
        Router router = mSentTo.get(id);
        synchronized (mCrashes) {
            mCrashes.add(new Crash(mStage.now(), router.name, mInTouch.get(id)));
            mStage.say(
                    "crash " + mCrashes.size() + ": " + id + " from " + router.name
                            + (mInTouch.get(id) ? "" : " (not in touch)")
                            + " ends replica " + replica.id);
        }
        replica.crash();
        Thread.ofVirtual()
                .start(
                        () -> {
                            Replica.pause(BACK_MS);
                            startReplica(number);
                        });
    }

    private int play() throws Exception {
        mStage.store.put("keyed.op", "config", CONFIGURATION);
        for (int i = 1; i <= REPLICAS; i++) {
            startReplica(i);
        }
        mStage.startAll();
        var traffic =
                new Traffic(
                        mStage,
                        30,
                        1_500,
                        (id, random) -> request(id, "/notice/" + id, "body " + id));
        traffic.start();
        var crashing = new Thread(this::sendCrashing);
        crashing.setDaemon(true);
        crashing.start();
        Replica.pause(14_000);
        if (mStage.trouble) {
            for (Router router : mStage.routers) {
                mStage.say("SIGTERM to " + router.name);
                router.stop(GRACE_MS);
                router.start();
                router.awaitReady();
                mStage.say(router.name + " is back");
                Replica.pause(12_000);
            }
        } else {
            Replica.pause(60_000);
        }
        traffic.end();
        crashing.interrupt();
        Replica.pause(1_000);
        return judge(traffic);
    }

    /** The request comes again, at any machine that is ready and in touch, as the rule counts. */
    private void sendCrashing() {
        Replica.pause(2_000);
        for (int i = 0; !Thread.currentThread().isInterrupted(); i++) {
            Router router = mStage.routers.get(i % ROUTERS);
            if (router.ranFor(STABLE_MS + 300) && router.isReady()) {
                String id = "%016x".formatted(0xc000_0000L + i);
                mSentTo.put(id, router);
                mInTouch.put(id, router.ranFor(STABLE_MS));
                String end;
                try {
                    end = Integer.toString(
                            router.send(request(id, "/notice/crash", "crash"), 1_500).status());
                } catch (IOException e) {
                    end = e.toString();
                }
                mStage.say("crashing request " + id + " at " + router.name + ": " + end);
            }
            Replica.pause(700);
        }
    }

    private int judge(Traffic traffic) {
        mStage.say("answers to the other requests by status: " + traffic.answers);
        int retries = 0;
        synchronized (mCrashes) {
            for (int i = 3; i < mCrashes.size(); i++) {
                boolean later = mCrashes.get(i).at() > mCrashes.get(2).at() + STABLE_MS;
                retries += later && mCrashes.get(i).inTouch() ? 1 : 0;
            }
            mStage.say(
                    mCrashes.size() + " crashes; " + retries
                            + " retries of machines in touch later than " + STABLE_MS
                            + " ms after the third; bound " + MAX_RETRIES);
            if (mCrashes.size() < 2) {
                return Stage.NOT_RUN;
            }
        }
        return retries > MAX_RETRIES ? Stage.BROKEN : Stage.HELD;
    }

    private static String request(String id, String path, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nFescueport-Attempt-Id: " + id
                + "\r\nFescueport-Deadline-Ms: 1500\r\nAuthorization: Token key1\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }
}
