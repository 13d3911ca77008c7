import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some replicas send the beginning of a second answer after a few of their answers. It arrives
 * where the next answer on the connection is expected.
 *
 * <p>Rule MIXED: no consumer gets a success where the replica had answered with a failure.
 */
public final class SuccessFromFailure {
    private static final int ROUTERS = 2;
    private static final int REPLICAS = 5;
    private static final int SLOTS = 6;
    private static final long WORK_MILLIS = 20;
    private static final int REQUESTS_PER_SECOND = 150;

    /** As in the site file inec-niveles for level-read. */
    private static final double ERROR_SHARE = 0.14;

    /** Replicas, part of their answers, and time: within the troubles of the same file. */
    private static final int GARBLING_REPLICAS = 3;
    private static final double EXTRA_SHARE = 0.03;
    private static final long GARBLE_MILLIS = 5_000;
    private static final int GARBLE_TIMES = 6;

    private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

    private static final String BOUNDS =
            """
            {"stable_window_ms":3000,"drain_ms":2000,"grace_s":8,"config_ms":2000,
             "outer_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":56,
             "recover_s":12,"cap_factor":2}""";

    private static final String CONFIGURATION =
            """
            {"version":1,"routes":[
             {"name":"reads","hostname":"h.example","path_prefix":"/read/",
              "route_type":"safe","timeout_ms":800,"target_latency_ms":300,"priority":2,
              "service":"avisos","max_attempts":2,"public":false}],
             "services":[{"name":"avisos","health_path":"/healthz","max_conns":110,
              "protocol":"h1","tls":false}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
              "header_timeout_ms":3000,"idle_timeout_ms":15000},
             "tenants":[{"name":"board","api_keys":["key-1"],"priority":1}]}""";

    private record Result(String id, Consumer.Reply reply) {}

    private static final AtomicInteger NEXT_ID = new AtomicInteger();
    private static final AtomicBoolean BUSY = new AtomicBoolean(true);
    private static final ConcurrentLinkedQueue<Result> RESULTS = new ConcurrentLinkedQueue<>();

    private SuccessFromFailure() {}

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
                    var replica =
                            new Replica(
                                    store, "avisos", ZONES.get(i % 3), SLOTS, WORK_MILLIS, 3_000, log);
                    replica.failShare(ERROR_SHARE);
                    replicas.add(replica);
                }
                routers = Router.create(ROUTERS, folder, ZONES, store.port(), BOUNDS, log);
                result = run(log, arguments[1].equals("1"), routers, replicas);
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

    private static int run(
            Log log, boolean trouble, List<Router> routers, List<Replica> replicas)
            throws Exception {
        for (Router router : routers) {
            router.start();
        }
        for (Router router : routers) {
            if (!router.awaitReady()) {
                return 2;
            }
        }
        Thread.sleep(4_000);
        Thread consumers = Thread.ofVirtual().start(() -> sendAll(routers));
        for (int i = 0; i < GARBLE_TIMES; i++) {
            Thread.sleep(2_000);
            if (trouble) {
                log.line("%d replicas begin a second answer after some answers", GARBLING_REPLICAS);
                replicas.stream().limit(GARBLING_REPLICAS).forEach(r -> r.extraShare(EXTRA_SHARE));
            }
            Thread.sleep(GARBLE_MILLIS);
            replicas.forEach(r -> r.extraShare(0));
        }
        BUSY.set(false);
        consumers.join();
        Thread.sleep(2_000);
        return judge(log, replicas);
    }

    private static void sendAll(List<Router> routers) {
        for (int i = 0; BUSY.get(); i++) {
            Router router = routers.get(i % ROUTERS);
            Thread.ofVirtual().start(() -> send(router));
            try {
                Thread.sleep(1_000 / REQUESTS_PER_SECOND);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void send(Router router) {
        String id = "r-" + NEXT_ID.incrementAndGet();
        String request =
                "GET /read/2f HTTP/1.1\r\nHost: h.example\r\nFescueport-Attempt-Id: "
                        + id
                        + "\r\nFescueport-Deadline-Ms: 1500\r\nAuthorization: Token key-1"
                        + "\r\nConnection: close\r\n\r\n";
        RESULTS.add(new Result(id, Consumer.exchange(router.frontend(), request, 1_500)));
    }

    private static int judge(Log log, List<Replica> replicas) {
        Map<String, List<Replica.Arrival>> runs = new HashMap<>();
        for (Replica replica : replicas) {
            for (Replica.Arrival arrival : replica.arrivals()) {
                runs.computeIfAbsent(arrival.id(), id -> new ArrayList<>()).add(arrival);
            }
        }
        Map<Integer, Integer> statuses = new TreeMap<>();
        int wrong = 0;
        for (Result result : RESULTS) {
            Consumer.Reply reply = result.reply();
            statuses.merge(reply.status(), 1, Integer::sum);
            List<Replica.Arrival> own = runs.getOrDefault(result.id(), List.of());
            boolean succeeded = own.stream().anyMatch(run -> run.status() == 200);
            List<String> ran = own.stream().map(r -> r.replica() + " gave " + r.status()).toList();
            log.line("%s was sent, ran at %s, was answered %d", result.id(), ran, reply.status());
            if (reply.status() == 200 && !succeeded) {
                wrong++;
                log.line("WRONG %s: got%n%s%n%s", result.id(), reply.head(), reply.body());
            }
        }
        int extras = replicas.stream().mapToInt(Replica::extras).sum();
        log.line("answers by status: %s; second answers begun: %d", statuses, extras);
        log.line("successes where every replica had failed: %d, allowed: 0", wrong);
        return wrong > 0 ? 1 : 0;
    }
}
