import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two hosts have a route with the same path prefix, to two services. One request crashes each
 * replica of the second service that begins to run it, and comes again and again. The same caller
 * asks the first host for the same path, which is answered.
 */
final class HostCase {
    private static final int REPLICAS = 5;
    private static final long STABLE_MS = 3_000;
    private static final long BACK_MS = 2_000;
    private static final int MAX_RETRIES = 3;
    private static final String PATH = "/v1/level/7";
    private static final String ROUTE =
            "{\"name\":\"%s\",\"hostname\":\"%s\",\"path_prefix\":\"/v1/\",\"route_type\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":386,\"priority\":1,\"service\":\"%s\",\"max_attempts\":2,\"public\":false,\"session_affinity\":false}";
    private static final String SERVICE =
            "{\"name\":\"%s\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}";
    private static final String CONFIGURATION =
            "{\"version\":7,\"routes\":["
                    + ROUTE.formatted("r-1", "archive.example", "archivo")
                    + ","
                    + ROUTE.formatted("r-2", "notice.example", "avisos")
                    + "],\"services\":["
                    + SERVICE.formatted("archivo")
                    + ","
                    + SERVICE.formatted("avisos")
                    + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key1\"],\"priority\":1}]}";

    private final Stage mStage;
    private final Map<String, Boolean> mInTouch = new ConcurrentHashMap<>();
    private final List<Double> mCrashes = new ArrayList<>();
    private final AtomicInteger mRetries = new AtomicInteger();
    private final AtomicInteger mStarts = new AtomicInteger();
    private final AtomicInteger mNext = new AtomicInteger();
    private volatile boolean mEnd;

    private HostCase(Stage stage) {
        mStage = stage;
    }

    public static void main(String[] arguments) throws Exception {
        int code = Stage.NOT_RUN;
        try (var stage = new Stage(Path.of(arguments[0]), "", "", 3, "za", "zb", "zc", "za")) {
            code = new HostCase(stage).play();
        }
        System.exit(code);
    }

    private void startReplica(String service, int number, Replica.Work work) {
        try {
            new Replica(
                    "i-" + number + "-" + mStarts.incrementAndGet(), mStage.store, service,
                    "z" + "abc".charAt(number % 3), 6, mStage.replicaAddress(number), 0, work,
                    (replica, request, runs) -> {});
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void answer(Replica replica, Http.Request request, OutputStream out)
            throws IOException {
        Replica.pause(40);
        replica.answer(request, out, "level 3");
    }

    /** A replica of the second service, which the request crashes. */
    private void startFragile(int number) {
        startReplica("avisos", number, (replica, request, out) -> run(replica, number, request, out));
    }

    private void run(Replica replica, int number, Http.Request request, OutputStream out)
            throws IOException {
        if (!mStage.trouble || !request.path().equals(PATH)) {
            answer(replica, request, out);
            return;
        }
        synchronized (mCrashes) {
            double now = mStage.now();
            boolean inTouch = mInTouch.get(request.header("Fescueport-Attempt-Id"));
            mCrashes.add(now);
            if (mCrashes.size() > 3 && now > mCrashes.get(2) + STABLE_MS && inTouch) {
                mRetries.incrementAndGet();
            }
            mStage.say(
                    "crash " + mCrashes.size() + ": "
                            + request.header("Fescueport-Attempt-Id") + " ends " + replica.id);
        }
        replica.crash();
        Thread.ofVirtual()
                .start(
                        () -> {
                            Replica.pause(BACK_MS);
                            startFragile(number);
                        });
    }

    private int play() throws Exception {
        mStage.store.put("keyed.op", "config", CONFIGURATION);
        for (int i = 1; i <= 3; i++) {
            startReplica("archivo", i, HostCase::answer);
        }
        for (int i = 4; i < 4 + REPLICAS; i++) {
            startFragile(i);
        }
        mStage.startAll();
        var others =
                new Traffic(
                        mStage, 40, 1_500,
                        (id, random) ->
                                request(
                                        id,
                                        random.nextBoolean() ? "archive.example" : "notice.example",
                                        "/v1/level/" + id));
        others.start();
        Replica.pause(STABLE_MS + 1_000);
        var answered = new AtomicInteger();
        if (System.getenv("WITHOUT_ARCHIVE") == null) {
            Thread.ofVirtual().start(() -> repeat("archive.example", 500, answered));
        }
        Thread.ofVirtual().start(() -> repeat("notice.example", 1_500, answered));
        Replica.pause(45_000);
        others.end();
        mEnd = true;
        Replica.pause(2_500);
        mStage.say("answers to other requests by status: " + others.answers);
        mStage.say("answers 200 to " + PATH + ": " + answered);
        mStage.say(
                mCrashes.size() + " crashes; " + mRetries + " retries of machines in touch later than "
                        + STABLE_MS + " ms after the third; bound " + MAX_RETRIES);
        if (answered.get() < 10 && System.getenv("WITHOUT_ARCHIVE") == null) {
            return Stage.NOT_RUN;
        }
        return mRetries.get() > MAX_RETRIES ? Stage.BROKEN : Stage.HELD;
    }

    /** Sends the request again and again, at each machine in turn. */
    private void repeat(String host, long pauseMillis, AtomicInteger answered) {
        for (int i = 0; !mEnd; i++) {
            Router router = mStage.routers.get(i % mStage.routers.size());
            String id = "%016x".formatted(0xc000_0000L + mNext.incrementAndGet());
            mInTouch.put(id, router.ranFor(STABLE_MS));
            String end;
            try {
                int status = router.send(request(id, host, PATH), 1_500).status();
                answered.addAndGet(status == 200 ? 1 : 0);
                end = Integer.toString(status);
            } catch (IOException e) {
                end = e.toString();
            }
            mStage.say(host + PATH + " " + id + " at " + router.name + ": " + end);
            Replica.pause(pauseMillis);
        }
    }

    private static String request(String id, String host, String path) {
        return "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nFescueport-Attempt-Id: " + id
                + "\r\nFescueport-Deadline-Ms: 1500\r\nAuthorization: Token key1\r\n"
                + "Content-Length: 2\r\n\r\n{}";
    }
}
