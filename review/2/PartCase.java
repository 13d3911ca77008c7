package review;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One part of a prompt crashes each replica that has written the first event of an answer on it.
 * Later than stable_window_ms after the fifth crash, three requests with that part may reach
 * replicas at most.
 */
public final class PartCase {
    private static final double STABLE_WINDOW_MS = 3_000;
    private static final int CRASHES_TO_LEARN = 5;
    private static final int ARRIVALS_ALLOWED = 3;
    private static final int SENDS = 24;
    private static final long SEND_EVERY_MS = 1_500;
    private static final int REPLICAS = 6;
    private static final int CALLERS = 6;
    private static final int EVENTS = 8;

    /** The pages: the replica is back after some seconds. */
    private static final long BACK_AFTER_MS = 2_500;

    private static final String KEY = "k3ywq0mz81hhtv5d2rna";
    private static final String DEADLY_PART = "deadbeef";

    private static final List<Double> ARRIVALS = new CopyOnWriteArrayList<>();
    private static final List<Double> CRASHES = new CopyOnWriteArrayList<>();
    private static final AtomicBoolean STOPPED = new AtomicBoolean();
    private static final AtomicInteger IDS = new AtomicInteger();
    private static final AtomicInteger WHOLE = new AtomicInteger();
    private static final AtomicInteger CUT = new AtomicInteger();

    private PartCase() {}

    /** Plays the case. */
    public static void main(String[] arguments) throws Exception {
        Stage.main(arguments[0], PartCase::play);
    }

    private static boolean play(Stage stage) throws Exception {
        Record record = stage.record();
        Store store = stage.started(new Store());
        store.put(
                "keyed.op",
                "config",
                Config.text(7, List.of(new Config.Tenant("harbour-office", List.of(KEY)))));
        for (int i = 1; i <= REPLICAS; i++) {
            start(stage, store, "i-llm" + i);
        }
        Router router = stage.router("edge-1", store.port(), List.of()).start().awaitReady();
        Thread.sleep(4_000);
        for (int i = 0; i < CALLERS; i++) {
            String part = "bbbb000" + i % 4;
            Thread.ofVirtual().start(() -> callAgainAndAgain(record, router, part));
        }
        for (int i = 1; i <= SENDS; i++) {
            String id = "deadly-" + i;
            record.line("sent POST /draft/1 id=%s with the part %s", id, DEADLY_PART);
            try (var caller = new Caller(router.frontend())) {
                var answer = caller.ask(request(id, DEADLY_PART));
                String text = answer.status() == 200 ? "whole" : answer.text().strip();
                record.line("answered %s: %s %s", id, answer.firstLine(), text);
            } catch (IOException e) {
                record.line("answered %s: %s", id, e.getMessage());
            }
            Thread.sleep(SEND_EVERY_MS);
        }
        STOPPED.set(true);
        Thread.sleep(500);
        long late = 0;
        if (CRASHES.size() >= CRASHES_TO_LEARN) {
            double learnt = CRASHES.get(CRASHES_TO_LEARN - 1) + STABLE_WINDOW_MS;
            late = ARRIVALS.stream().filter(at -> at > learnt).count();
        }
        record.say(
                "%d requests with the part arrived %d times and crashed replicas %d times; %d"
                        + " arrivals later than %.0f ms after crash %d; sound streams: %d whole, %d not",
                SENDS,
                ARRIVALS.size(),
                CRASHES.size(),
                late,
                STABLE_WINDOW_MS,
                CRASHES_TO_LEARN,
                WHOLE.get(),
                CUT.get());
        return late > ARRIVALS_ALLOWED;
    }

    /** Returns a request unlike all others; the part is neither its first nor its last. */
    private static String request(String id, String part) {
        String prompt =
                "Fescueport-Model: m\r\nFescueport-Token-Usage: 2100,80\r\n"
                        + "Fescueport-Prefix-Hash: 5c1e07a2:400,%s:1500,%08x:200\r\n"
                                .formatted(part, id.hashCode());
        return Caller.request("POST", "/draft/1", id, KEY, 15_000, "about " + id)
                .replace("Content-Length", prompt + "Content-Length");
    }

    private static void callAgainAndAgain(Record record, Router router, String part) {
        while (!STOPPED.get()) {
            try (var caller = new Caller(router.frontend())) {
                while (!STOPPED.get()) {
                    String id = "sound-" + IDS.incrementAndGet();
                    CUT.incrementAndGet();
                    var answer = caller.ask(request(id, part));
                    record.line("sent %s with the part %s: %s", id, part, answer.firstLine());
                    if (answer.status() == 200) {
                        CUT.decrementAndGet();
                        WHOLE.incrementAndGet();
                    }
                    Thread.sleep(60);
                }
            } catch (Exception e) {
                record.line("a sound stream was lost: %s", e.getMessage());
            }
        }
    }

    /** Starts a replica; one that has crashed starts again under its id. */
    private static void start(Stage stage, Store store, String id) throws Exception {
        Replica.Work work =
                (replica, request, out) -> {
                    boolean deadly =
                            request.header("Fescueport-Prefix-Hash").contains(DEADLY_PART + ":");
                    if (deadly) {
                        ARRIVALS.add(Record.now());
                    }
                    String last = request.header("Last-Event-Id");
                    int first = last == null ? 1 : Integer.parseInt(last) + 1;
                    Thread.sleep(20);
                    write(
                            out,
                            Replica.head(request)
                                    + "Content-Type: text/event-stream\r\n"
                                    + "Transfer-Encoding: chunked\r\n\r\n");
                    for (int event = first; event <= EVENTS; event++) {
                        String text = "id: " + event + "\ndata: words " + event + "\n\n";
                        write(out, "%x\r\n%s\r\n".formatted(text.length(), text));
                        Thread.sleep(20);
                        if (deadly && stage.trouble()) {
                            CRASHES.add(Record.now());
                            stage.record().line("%s crashes on the part", id);
                            replica.crash();
                            Thread.ofVirtual().start(() -> startAgain(stage, store, id));
                            return;
                        }
                    }
                    write(out, "0\r\n\r\n");
                };
        stage.started(
                        new Replica(
                                id, "llm", store, stage.record(), work, (replica, request) -> {}))
                .register();
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static void startAgain(Stage stage, Store store, String id) {
        try {
            Thread.sleep(BACK_AFTER_MS);
            start(stage, store, id);
            stage.record().line("%s is back", id);
        } catch (Exception e) {
            stage.record().line("%s could not start again: %s", id, e);
        }
    }
}
