package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Replicas leave without a word while the connections of one router to the store are reset now and
 * then. The two other routers, which nothing disturbs, must not send to a replica later than
 * drain_ms after its removal was acknowledged.
 */
public final class GraceCase {
    private static final double DRAIN_MS = 2_000;

    /** How long a replica serves after its removal; the pages: drain_ms and a little longer. */
    private static final long SERVES_ON_MS = 3_000;

    private static final int LEAVING = 16;
    private static final long RESET_EVERY_MS = 1_000;
    private static final String KEY = "k3ywq0mz81hhtv5d2rna";

    private static final AtomicInteger IDS = new AtomicInteger();
    private static final AtomicBoolean STOPPED = new AtomicBoolean();

    /** When the removal of a replica was acknowledged. */
    private static final Map<String, Long> REMOVED = new ConcurrentHashMap<>();

    /** The last arrival at each removed replica through an undisturbed router, after the ack. */
    private static final Map<String, Double> LAST = new ConcurrentHashMap<>();

    private static final List<Double> LATE = new CopyOnWriteArrayList<>();

    private GraceCase() {}

    /** Plays the case. */
    public static void main(String[] arguments) throws Exception {
        Stage.main(arguments[0], GraceCase::play);
    }

    private static boolean play(Stage stage) throws Exception {
        Record record = stage.record();
        Store store = stage.started(new Store());
        Link link = stage.started(new Link(store.port()));
        store.put(
                "keyed.op",
                "config",
                Config.text(7, List.of(new Config.Tenant("harbour-office", List.of(KEY)))));
        for (int i = 1; i <= 3; i++) {
            replica(stage, store, "i-stays" + i).register();
        }
        Router disturbed = stage.router("edge-1", link.port(), List.of()).start().awaitReady();
        List<Integer> seeds = List.of(disturbed.control());
        Router second = stage.router("edge-2", store.port(), seeds).start().awaitReady();
        Router third = stage.router("edge-3", store.port(), seeds).start().awaitReady();
        Thread.sleep(4_000);
        for (int i = 0; i < 4; i++) {
            Thread.ofVirtual().start(() -> callAgainAndAgain(record, disturbed, "u", 100));
            Thread.ofVirtual().start(() -> callAgainAndAgain(record, second, "d", 25));
            Thread.ofVirtual().start(() -> callAgainAndAgain(record, third, "d", 25));
        }
        if (stage.trouble()) {
            Thread.ofVirtual().start(() -> resetAgainAndAgain(record, link));
        }
        List<Replica> leaving = new ArrayList<>();
        for (int i = 1; i <= LEAVING; i++) {
            Replica replica = replica(stage, store, "i-goes" + i).register();
            leaving.add(replica);
            // The pauses differ, so that the removals fall into all phases of the reads.
            Thread.sleep(1_500 + 130L * (i * 5 % 7));
            replica.unregister();
            REMOVED.put(replica.id(), System.nanoTime());
            Thread.ofVirtual()
                    .start(
                            () -> {
                                try {
                                    Thread.sleep(SERVES_ON_MS);
                                    replica.crash();
                                } catch (Exception e) {
                                    record.line("%s could not end: %s", replica.id(), e);
                                }
                            });
        }
        Thread.sleep(SERVES_ON_MS + 500);
        STOPPED.set(true);
        Thread.sleep(300);
        record.say("last arrival at each removed replica, ms after the ack: %s", rounded());
        record.say(
                "requests that reached a replica later than %.0f ms after the ack: %d",
                DRAIN_MS, LATE.size());
        return !LATE.isEmpty();
    }

    private static Map<String, Long> rounded() {
        Map<String, Long> rounded = new TreeMap<>();
        LAST.forEach((id, ms) -> rounded.put(id, Math.round(ms)));
        return rounded;
    }

    private static Replica replica(Stage stage, Store store, String id) throws Exception {
        return stage.started(
                new Replica(
                        id, "desk", store, stage.record(), Replica.plain(5), GraceCase::onRun));
    }

    private static void onRun(Replica replica, Http.Message request) {
        Long removed = REMOVED.get(replica.id());
        if (removed == null || !request.header("Fescueport-Attempt-Id").startsWith("d")) {
            return;
        }
        double after = (System.nanoTime() - removed) / 1e6;
        LAST.merge(replica.id(), after, Math::max);
        if (after > DRAIN_MS) {
            LATE.add(after);
        }
    }

    /** Keeps a connection and sends notices, which may run once, one after the other. */
    private static void callAgainAndAgain(Record record, Router router, String kind, long pause) {
        while (!STOPPED.get()) {
            try (var caller = new Caller(router.frontend())) {
                while (!STOPPED.get()) {
                    String id = kind + IDS.incrementAndGet();
                    var answer =
                            caller.ask(
                                    Caller.request("POST", "/notice/1", id, KEY, 1_500, "notice"));
                    record.line(
                            "%s was sent POST /notice/1 id=%s, answered %s",
                            router.name(), id, answer.firstLine());
                    Thread.sleep(pause);
                }
            } catch (Exception e) {
                record.line("%s: a caller lost its connection: %s", router.name(), e);
            }
        }
    }

    private static void resetAgainAndAgain(Record record, Link link) {
        try {
            while (!STOPPED.get()) {
                Thread.sleep(RESET_EVERY_MS);
                record.line("connections of edge-1 to the store are reset");
                link.resetAll();
            }
        } catch (Exception e) {
            record.line("no more resets: %s", e);
        }
    }
}
