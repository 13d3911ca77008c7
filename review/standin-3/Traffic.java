import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Clients that send requests at a steady rate, each to a router drawn at random. */
final class Traffic {
    /** Builds the request with this id. */
    interface Requests {
        String request(String id, Random random);
    }

    final Map<String, Double> sentMillis = new ConcurrentHashMap<>();
    final Map<Integer, AtomicInteger> answers = new ConcurrentHashMap<>();
    private final Stage mStage;
    private final List<Router> mRouters;
    private final Requests mRequests;
    private final double mPerSecond;
    private final long mTimeoutMillis;
    private final AtomicBoolean mEnd = new AtomicBoolean();
    private final AtomicLong mNext = new AtomicLong();

    Traffic(Stage stage, double perSecond, long timeoutMillis, Requests requests) {
        mStage = stage;
        mRouters = stage.routers;
        mPerSecond = perSecond;
        mTimeoutMillis = timeoutMillis;
        mRequests = requests;
    }

    void start() {
        Thread.ofVirtual().start(this::run);
    }

    void end() {
        mEnd.set(true);
    }

    private void run() {
        var random = new Random(1);
        long next = System.nanoTime();
        while (!mEnd.get()) {
            long seed = random.nextLong();
            Thread.ofVirtual().start(() -> send(new Random(seed)));
            next += (long) (1e9 / mPerSecond);
            Replica.pause(Math.max(0, (next - System.nanoTime()) / 1_000_000));
        }
    }

    /** Sends a request; one that no router took goes to another router, as a new attempt. */
    private void send(Random random) {
        for (int attempt = 0; attempt < 3; attempt++) {
            String id = "%016x".formatted(mNext.incrementAndGet());
            Router router = mRouters.get(random.nextInt(mRouters.size()));
            String request = mRequests.request(id, random);
            sentMillis.put(id, mStage.now());
            try {
                Http.Answer answer = router.send(request, mTimeoutMillis);
                count(answer.complete() ? answer.status() : -answer.status());
                return;
            } catch (java.net.ConnectException e) {
                count(0);
            } catch (IOException e) {
                count(-1);
                return;
            }
        }
    }

    private void count(int status) {
        answers.computeIfAbsent(status, key -> new AtomicInteger()).incrementAndGet();
    }
}
