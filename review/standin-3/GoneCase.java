import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Routers start where many machines were replaced before, whose records are still in the store. One
 * request crashes each replica that begins to run it, and comes again and again.
 */
final class GoneCase {
    private static final int GONE =
            Integer.parseInt(System.getenv().getOrDefault("GONE", "80"));
    private static final int REPLICAS = 6;
    private static final long STABLE_MS = 3_000;
    private static final long BACK_MS = 2_000;
    private static final int MAX_RETRIES = 3;
    private static final int TIMES = 25;
    private static final String CONFIGURATION =
            "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"hostname\":\"notice.example\",\"path_prefix\":\"/notice/\",\"route_type\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":386,\"priority\":1,\"service\":\"avisos\",\"max_attempts\":2,\"public\":false,\"session_affinity\":false}],\"services\":[{\"name\":\"avisos\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key1\"],\"priority\":1}]}";

    private final Stage mStage;
    private final Map<String, Router> mSentTo = new ConcurrentHashMap<>();
    private final Map<String, Integer> mByRouter = new TreeMap<>();
    private final AtomicInteger mStarts = new AtomicInteger();
    private int mCrashes;
    private double mThird;
    private int mRetries;

    private GoneCase(Stage stage) {
        mStage = stage;
    }

    public static void main(String[] arguments) throws Exception {
        int code = Stage.NOT_RUN;
        try (var stage =
                new Stage(Path.of(arguments[0]), "", "", 3, "za", "za", "zb", "zb", "zc")) {
            code = new GoneCase(stage).play();
        }
        System.exit(code);
    }

    private void startReplica(int number) {
        try {
            new Replica(
                    "i-" + number + "-" + mStarts.incrementAndGet(), mStage.store, "avisos",
                    "z" + "abc".charAt(number % 3), 6, mStage.replicaAddress(number), 0,
                    (replica, request, out) -> run(replica, number, request, out),
                    (replica, request, runs) -> {});
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void run(Replica replica, int number, Http.Request request, OutputStream out)
            throws IOException {
        if (!request.path().equals("/notice/crash")) {
            Replica.pause(40);
            replica.answer(request, out, "done");
            return;
        }
        count(request.header("Fescueport-Attempt-Id"), replica);
        replica.crash();
        Thread.ofVirtual()
                .start(
                        () -> {
                            Replica.pause(BACK_MS);
                            startReplica(number);
                        });
    }

    private synchronized void count(String id, Replica replica) {
        Router router = mSentTo.get(id);
        double now = mStage.now();
        mCrashes++;
        if (mCrashes == 3) {
            mThird = now;
        }
        if (mCrashes > 3 && now > mThird + STABLE_MS && router.ranFor(STABLE_MS)) {
            mRetries++;
        }
        mByRouter.merge(router.name, 1, Integer::sum);
        mStage.say("crash " + mCrashes + ": " + id + " from " + router.name + " ends " + replica.id);
    }

    private int play() throws Exception {
        mStage.store.put("keyed.op", "config", CONFIGURATION);
        for (int i = 1; mStage.trouble && i <= GONE; i++) {
            mStage.store.put(
                    "keyed.status",
                    "edge-gone-" + i,
                    "{\"address\":\"127.0.4.%d:%d\",\"domain\":\"z%s\"}"
                            .formatted(i, mStage.controlPort(), "abc".charAt(i % 3)));
        }
        for (int i = 1; i <= REPLICAS; i++) {
            startReplica(i);
        }
        mStage.startAll();
        var others =
                new Traffic(mStage, 30, 1_500, (id, random) -> request(id, "/notice/" + id));
        others.start();
        Replica.pause(10_000);
        for (int i = 0; i < TIMES; i++) {
            Router router = mStage.routers.get(i % mStage.routers.size());
            String id = "%016x".formatted(0xc000_0000L + i);
            mSentTo.put(id, router);
            String end;
            try {
                end = Integer.toString(router.send(request(id, "/notice/crash"), 1_500).status());
            } catch (IOException e) {
                end = e.toString();
            }
            mStage.say("crashing request " + id + " at " + router.name + ": " + end);
            Replica.pause(1_600);
        }
        others.end();
        Replica.pause(1_500);
        mStage.say("answers to the other requests by status: " + others.answers);
        mStage.say("crashes by router: " + mByRouter);
        mStage.say(
                mCrashes + " crashes; " + mRetries + " retries of machines in touch later than "
                        + STABLE_MS + " ms after the third; bound " + MAX_RETRIES);
        if (mCrashes < 2) {
            return Stage.NOT_RUN;
        }
        return mRetries > MAX_RETRIES ? Stage.BROKEN : Stage.HELD;
    }

    private static String request(String id, String path) {
        return "POST " + path + " HTTP/1.1\r\nHost: notice.example\r\nFescueport-Attempt-Id: " + id
                + "\r\nFescueport-Deadline-Ms: 1500\r\nAuthorization: Token key1\r\n"
                + "Content-Length: 2\r\n\r\n{}";
    }
}
