import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Three of four model replicas are taken away as planned, one after the other, and a router gets
 * SIGHUP. The replica that stays writes nothing for a while in the middle of its streams, as it
 * reads prompts in again, and then goes on.
 *
 * <p>Rule LOST: around planned work no answer ends incomplete; "a replica's silence is no reason to
 * end an answer sooner".
 */
public final class CutBySilence {
    private static final int REPLICAS = 4;
    private static final int SLOTS = 64;
    private static final long PAUSE_MILLIS = 1_200;
    private static final int STREAMS = 10;
    private static final List<String> ZONES = List.of("zone-a", "zone-b", "zone-c");

    private static final String BOUNDS =
            """
            {"stable_window_ms":3000,"drain_ms":2000,"grace_s":8,"config_ms":2000,
             "outer_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_slack":56,
             "recover_s":12,"cap_factor":2}""";

    /** As in the site file inec-niveles for basin-summary. */
    private static final String CONFIGURATION =
            """
            {"version":1,"routes":[
             {"name":"summaries","hostname":"h.example","path_prefix":"/sum/",
              "route_type":"streaming","timeout_ms":15000,"target_latency_ms":1000,"priority":0,
              "service":"modelos","max_attempts":2,"public":false,"session_affinity":true,
              "resumable":true,"gap_target_ms":300}],
             "services":[{"name":"modelos","health_path":"/healthz","max_conns":370,
              "protocol":"h1","tls":false}],
             "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
              "header_timeout_ms":3000,"idle_timeout_ms":15000},
             "tenants":[{"name":"board","api_keys":["key-1"],"priority":1}]}""";

    private record Result(String id, double sentAt, double endedAt, Consumer.Reply reply) {}

    private CutBySilence() {}

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
                            new Replica(store, "modelos", ZONES.get(i % 3), SLOTS, 20, 3_000, log);
                    replica.streamWithPause(PAUSE_MILLIS);
                    replicas.add(replica);
                }
                routers = Router.create(2, folder, ZONES, store.port(), BOUNDS, log);
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
        for (Replica leaving : replicas.subList(1, REPLICAS)) {
            if (trouble) {
                leaving.drain();
            }
            Thread.sleep(2_000);
        }
        Thread.sleep(2_000);
        Router router = routers.get(0);
        router.hangUp("\"budget_slack\":56", "\"budget_slack\":60");
        var results = new ConcurrentLinkedQueue<Result>();
        List<Thread> consumers = new ArrayList<>();
        for (int i = 1; i <= STREAMS; i++) {
            String id = "s-" + i;
            consumers.add(Thread.ofVirtual().start(() -> send(log, router, id, results)));
        }
        for (Thread consumer : consumers) {
            consumer.join();
        }
        int cut = 0;
        for (Result r : results) {
            boolean complete =
                    r.reply().status() == 200
                            && r.reply().body().contains("id: " + Replica.EVENTS + "\n")
                            && r.reply().body().endsWith("\r\n0\r\n\r\n");
            boolean partial = r.reply().status() == Consumer.CUT || !complete;
            cut += partial ? 1 : 0;
            log.line(
                    "%s sent at %.3f s, ended at %.3f s, status %d, %s, %d events",
                    r.id(), r.sentAt(), r.endedAt(), r.reply().status(),
                    complete ? "complete" : "INCOMPLETE",
                    r.reply().body().split("data: piece", -1).length - 1);
        }
        log.line("answers that ended incomplete: %d of %d, allowed: 0", cut, STREAMS);
        return cut > 0 ? 1 : 0;
    }

    private static void send(
            Log log, Router router, String id, ConcurrentLinkedQueue<Result> results) {
        String request =
                "POST /sum/2f HTTP/1.1\r\nHost: h.example\r\nFescueport-Attempt-Id: "
                        + id
                        + "\r\nFescueport-Model: m\r\nFescueport-Token-Usage: 1460,80"
                        + "\r\nFescueport-Prefix-Hash: 5c1e07a2:800,91bd3f06:410,e"
                        + id.substring(2)
                        + ":250\r\nFescueport-Deadline-Ms: 15000\r\nAuthorization: Token key-1"
                        + "\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi";
        double sentAt = log.seconds(System.nanoTime());
        Consumer.Reply reply = Consumer.exchange(router.frontend(), request, 15_000);
        results.add(new Result(id, sentAt, log.seconds(System.nanoTime()), reply));
    }
}
