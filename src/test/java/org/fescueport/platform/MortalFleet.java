package org.fescueport.platform;

import static org.fescueport.platform.ReplicaStandIn.beginStream;
import static org.fescueport.platform.ReplicaStandIn.chunk;
import static org.fescueport.platform.ReplicaStandIn.events;
import static org.fescueport.platform.ReplicaStandIn.headersFor;
import static org.fescueport.platform.Scripts.GOOD;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.fescueport.platform.RawServer.Request;
import org.fescueport.platform.RawServer.Script;
import org.fescueport.platform.RawServer.Wire;

/** Routers before engines that crash with one prompt part, and callers with sound requests. */
final class MortalFleet implements AutoCloseable {
    /** The part that engines crash with. */
    static final String DEADLY = "dead01";

    private static final long STABLE_WINDOW_NANOS = Duration.ofSeconds(3).toNanos();
    private static final int ENGINES = 6;
    private static final int BACK_AFTER_MS = 1_200;
    private static final int EVENTS = 8;
    private static final int EVENT_MS = 15;

    /** Where in its answer an engine crashes. */
    enum Place {
        BEFORE_ANSWER,
        FIRST_EVENT,
        INSIDE_EVENT,
        FIFTH_EVENT,
        /** Behind an event of a stream that has neither a length nor chunks. */
        OPEN_END
    }

    private final Place mPlace;
    private final Installation mInstallation;
    private final List<TestRouter> mRouters = new ArrayList<>();
    private final List<ReplicaStandIn> mEngines = new ArrayList<>();
    private final List<Thread> mCallers = new ArrayList<>();
    private final List<Long> mCrashes = new CopyOnWriteArrayList<>();
    private final List<Long> mArrivals = new CopyOnWriteArrayList<>();
    private final AtomicInteger mIds = new AtomicInteger();
    private final AtomicInteger mSound = new AtomicInteger();
    private final AtomicInteger mSoundRefused = new AtomicInteger();
    private volatile boolean mStopped;

    private MortalFleet(Place place, int nodes) throws IOException {
        mPlace = place;
        mInstallation = Installation.start(GOOD, GOOD);
        mRouters.add(mInstallation.router());
        if (nodes > 1) {
            var second = TestRouter.start("edge-2", mInstallation.store().address()).awaitReady();
            Await.until("they know each other", second::reliesOnPeer);
            mRouters.add(second);
        }
        startEngines();
    }

    /**
     * Starts routers and engines.
     *
     * @param nodes number of routers, 1 or 2
     */
    static MortalFleet start(Place place, int nodes) throws IOException {
        return new MortalFleet(place, nodes);
    }

    /** Replaces the engines of the installation by mortal ones. */
    private void startEngines() throws IOException {
        for (String id : List.of("llm-1", "llm-2")) {
            mInstallation.store().remove("keyed.servers", id);
        }
        for (int i = 0; i < ENGINES; i++) {
            var engine = ReplicaStandIn.start("mortal-" + (i + 1), "llm", script(i));
            mEngines.add(engine);
            engine.register(mInstallation.store(), "ready");
        }
        Await.pause(1_500);
    }

    private Script script(int index) {
        return (request, wire) -> answer(index, request, wire);
    }

    private void answer(int index, Request request, Wire wire) throws IOException {
        boolean deadly = request.header("Fescueport-Prefix-Hash").contains(DEADLY);
        if (deadly) {
            mArrivals.add(System.nanoTime());
        }
        if (deadly && mPlace == Place.BEFORE_ANSWER) {
            Await.pause(EVENT_MS);
            crash(index);
            return;
        }
        String last = request.header("Last-Event-Id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        boolean open = deadly && mPlace == Place.OPEN_END;
        if (open) {
            wire.write(
                    "HTTP/1.1 200 OK\r\n"
                            + headersFor(request)
                            + "Content-Type: text/event-stream\r\n\r\n");
        } else {
            beginStream(request, wire);
        }
        for (int event = first; event <= EVENTS; event++) {
            String text = events(event, event);
            if (deadly && mPlace == Place.INSIDE_EVENT) {
                chunk(wire, "id: 99\nda");
            } else if (open) {
                wire.write(text);
            } else {
                chunk(wire, text);
            }
            Await.pause(EVENT_MS);
            boolean isFifth = event >= Math.max(5, first);
            if (deadly && (mPlace != Place.FIFTH_EVENT || isFifth)) {
                crash(index);
                return;
            }
        }
        wire.write("0\r\n\r\n");
    }

    private void crash(int index) throws IOException {
        var engine = mEngines.get(index);
        synchronized (engine) {
            if (!engine.isUp()) {
                return;
            }
            mCrashes.add(System.nanoTime());
            engine.crash();
        }
        Thread.ofVirtual()
                .start(
                        () -> {
                            Await.pause(BACK_AFTER_MS);
                            startAgain(index);
                        });
    }

    private void startAgain(int index) {
        try {
            mEngines.get(index).startAgain(mInstallation.store(), script(index));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Begins to send sound requests with these prompt parts, one after the other, to a router. */
    void startSoundCaller(int node, String route, String parts) {
        var router = mRouters.get(node % mRouters.size());
        mCallers.add(Thread.ofVirtual().start(() -> callAgainAndAgain(router, route, parts)));
    }

    private void callAgainAndAgain(TestRouter router, String route, String parts) {
        while (!mStopped) {
            try {
                var answer = ask(router, request(route, parts));
                mSound.incrementAndGet();
                if (answer.status() == 503 && answer.body().contains("crashes replicas")) {
                    mSoundRefused.incrementAndGet();
                }
            } catch (IOException e) {
                // Its engine crashed with another request.
            }
            Await.pause(30);
        }
    }

    void awaitSoundAnswers() {
        Await.until("sound requests are answered", () -> mSound.get() > 20);
    }

    /** Sends a request, unlike all others but for its prompt parts, to a router. */
    RawCaller.Answer ask(int node, String route, String parts) throws IOException {
        return ask(mRouters.get(node % mRouters.size()), request(route, parts));
    }

    private static RawCaller.Answer ask(TestRouter router, String request) throws IOException {
        return RawCaller.ask(router.callers(), request);
    }

    /** "%n" in the parts stands for a part of the request's own. */
    private String request(String route, String parts) {
        int number = mIds.incrementAndGet();
        String own = "ff%04x:50".formatted(number);
        String prompt =
                "\r\nFescueport-Model: m\r\nFescueport-Token-Usage: 950,10"
                        + "\r\nFescueport-Prefix-Hash: "
                        + parts.replace("%n", own)
                        + "\r\nAuthorization";
        return Installation.request("GET", "/" + route + "/" + number, "id-" + number, "")
                .replaceFirst("\r\nAuthorization", prompt);
    }

    /** Ends the callers with sound requests. */
    void stopCallers() throws InterruptedException {
        mStopped = true;
        for (var caller : mCallers) {
            caller.join();
        }
    }

    int crashes() {
        return mCrashes.size();
    }

    int soundRefused() {
        return mSoundRefused.get();
    }

    /** Counts the deadly requests that came later than a stable window after this crash. */
    long lateArrivals(int crash) {
        if (mCrashes.size() < crash) {
            return 0;
        }
        long learnt = mCrashes.get(crash - 1) + STABLE_WINDOW_NANOS;
        return mArrivals.stream().filter(at -> at - learnt > 0).count();
    }

    @Override
    public void close() throws IOException {
        mStopped = true;
        mRouters.subList(1, mRouters.size()).forEach(TestRouter::close);
        mInstallation.close();
        for (var engine : mEngines) {
            engine.close();
        }
    }
}
