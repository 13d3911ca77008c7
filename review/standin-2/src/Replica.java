import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of a replica of a plain or of a streaming service. It registers itself in the store,
 * echoes the id of each request, and answers 421 to requests for another replica. A request that
 * contains {@link #POISON} in its body crashes it as soon as it begins to run.
 */
final class Replica implements AutoCloseable {
    static final String POISON = "poison";

    /** A request that this replica has begun to run, and the status that it gives. */
    record Arrival(String replica, String id, long atNanos, boolean poison, int status) {}

    /** A second answer that breaks off after its first bytes. */
    private static final String EXTRA = "HTTP/1.1 200 OK\r\nContent-Type: app";

    /** Events of a stream. */
    static final int EVENTS = 20;

    private static final long EVENT_MILLIS = 80;
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final AtomicInteger NEXT_ID = new AtomicInteger(1);

    private final Store mStore;
    private final String mService;
    private final String mZone;
    private final int mSlots;
    private final long mWorkMillis;
    private final long mBackAfterMillis;
    private final Log mLog;
    private final List<Arrival> mArrivals = new ArrayList<>();
    private final AtomicInteger mRunning = new AtomicInteger();
    private HttpStub mServer;
    private String mId;
    private long mBorn;
    private int mSeq;
    private volatile long mColdUntilNanos = System.nanoTime();
    private volatile boolean mDead;
    private volatile boolean mClosed;
    private volatile int mCutOff;
    private final Random mRandom;
    private volatile long mPauseMillis;
    private volatile String mState = "ready";
    private volatile double mErrorShare;
    private volatile double mExtraShare;
    private final AtomicInteger mExtras = new AtomicInteger();

    Replica(
            Store store,
            String service,
            String zone,
            int slots,
            long workMillis,
            long backAfterMillis,
            Log log)
            throws IOException {
        mStore = store;
        mService = service;
        mZone = zone;
        mSlots = slots;
        mWorkMillis = workMillis;
        mBackAfterMillis = backAfterMillis;
        mLog = log;
        mRandom = new Random(NEXT_ID.get());
        begin(0);
        Thread.ofVirtual().start(this::beat);
    }

    private synchronized void begin(int port) throws IOException {
        mId = "i-" + mService + "-" + NEXT_ID.getAndIncrement();
        mBorn = System.currentTimeMillis();
        mSeq = 0;
        String id = mId;
        mServer = HttpStub.raw(port, (socket, in) -> serve(socket, in, id));
        mDead = false;
        register();
    }

    private synchronized void register() {
        long cold = Math.max(0, (mColdUntilNanos - System.nanoTime()) / 1_000_000);
        mStore.put(
                "keyed.servers",
                mId,
                ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\","
                                + "\"slots\":%d,\"state\":\"%s\",\"cold_remaining_ms\":%d,"
                                + "\"born\":%d,\"seq\":%d}")
                        .formatted(
                                mService, mServer.port(), mZone, mSlots, mState, cold, mBorn, ++mSeq));
    }

    private void beat() {
        while (!mClosed) {
            sleep(HEARTBEAT_MILLIS);
            if (!mDead && !mClosed) {
                register();
            }
        }
    }

    /** From now on it can handle few requests, for this time, and says so in the store. */
    void turnCold(long millis) {
        mColdUntilNanos = System.nanoTime() + millis * 1_000_000;
        register();
    }

    /** From now on it answers this share of its requests with a failure of its own. */
    void failShare(double share) {
        mErrorShare = share;
    }

    /**
     * From now on it sends, after this share of its answers, the beginning of a second answer. It
     * arrives late, where the next answer on the connection is expected.
     */
    void extraShare(double share) {
        mExtraShare = share;
    }

    /** Returns how often the beginning of a second answer was sent. */
    int extras() {
        return mExtras.get();
    }

    private void serve(Socket socket, InputStream in, String id)
            throws IOException, InterruptedException {
        boolean extra = false;
        for (var request = HttpStub.read(in); request != null; request = HttpStub.read(in)) {
            if (extra) {
                mExtras.incrementAndGet();
                socket.getOutputStream().write(EXTRA.getBytes(StandardCharsets.ISO_8859_1));
            }
            extra = mRandom.nextDouble() < mExtraShare;
            String attempt = request.header("Fescueport-Attempt-Id");
            if (!request.header("Fescueport-Expect-Replica").equals(id)) {
                send(socket, 421, "Fescueport-Replica-Id: " + id + "\r\n", attempt, "");
                continue;
            }
            if (mRunning.incrementAndGet() > mSlots) {
                mRunning.decrementAndGet();
                send(socket, 503, "Fescueport-Not-Executed: 1\r\n", attempt, "");
                continue;
            }
            try {
                run(socket, request, attempt, id);
            } finally {
                mRunning.decrementAndGet();
            }
        }
    }

    private void run(Socket socket, HttpStub.Request request, String attempt, String id)
            throws IOException, InterruptedException {
        String body = new String(request.body(), StandardCharsets.ISO_8859_1);
        boolean poison = body.contains(POISON);
        boolean fails = mRandom.nextDouble() < mErrorShare;
        synchronized (mArrivals) {
            int status = fails ? 500 : 200;
            mArrivals.add(new Arrival(id, attempt, System.nanoTime(), poison, status));
        }
        if (poison) {
            crash(id, attempt);
            return;
        }
        Thread.sleep(mWorkMillis);
        if (mDead) {
            return;
        }
        if (fails) {
            send(socket, 500, stamp(), attempt, "error " + attempt + "\n");
        } else if (request.header("Fescueport-Model").isEmpty()) {
            send(socket, 200, stamp(), attempt, "done " + attempt + "\n");
        } else if (mPauseMillis > 0) {
            stream(socket, request, attempt, id);
        } else {
            String events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
            send(socket, 200, stamp() + "Content-Type: text/event-stream\r\n", attempt, events);
        }
    }

    /**
     * From now on it writes {@link #EVENTS} events for a streaming request, in chunks, and goes on
     * after {@code Last-Event-Id}. Where it has written the first half itself, it has to read the
     * prompt in again, as after a preemption, and writes nothing for this time.
     */
    void streamWithPause(long millis) {
        mPauseMillis = millis;
    }

    private void stream(Socket socket, HttpStub.Request request, String attempt, String id)
            throws IOException, InterruptedException {
        String last = request.header("Last-Event-Id");
        int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        var out = socket.getOutputStream();
        out.write(
                ("HTTP/1.1 200 OK\r\n"
                                + stamp()
                                + "Fescueport-Attempt-Id: "
                                + attempt
                                + "\r\nContent-Type: text/event-stream"
                                + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
        for (int event = first; event <= EVENTS; event++) {
            if (event == EVENTS / 2 + 1 && first == 1) {
                mLog.line("%s pauses in %s after event %d", id, attempt, event - 1);
                Thread.sleep(mPauseMillis);
            }
            Thread.sleep(EVENT_MILLIS);
            String text = "id: " + event + "\ndata: piece\n\n";
            String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
            try {
                out.write(chunk.getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                mLog.line("%s: the connection of %s was closed before event %d", id, attempt, event);
                throw e;
            }
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        mLog.line("%s has written all of %s", id, attempt);
    }

    /** Says in the store that it leaves; it goes on serving. */
    void drain() {
        mState = "draining";
        register();
        mLog.line("%s is draining", mId);
    }

    private static String stamp() {
        return "Fescueport-Replica-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
    }

    private static void send(Socket socket, int status, String more, String attempt, String body)
            throws IOException {
        String answer =
                "HTTP/1.1 %d %s\r\n%sFescueport-Attempt-Id: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s"
                        .formatted(
                                status,
                                status == 200 ? "OK" : "Not Done",
                                more,
                                attempt,
                                body.length(),
                                body);
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Crashes, and starts again after a while as a new replica at the same address. */
    private void crash(String id, String attempt) {
        int others = mRunning.get() - 1;
        mCutOff += others;
        mLog.line("replica %s crashes, running %s; %d other requests are cut off", id, attempt, others);
        mDead = true;
        int port = mServer.port();
        mServer.crash();
        Thread.ofVirtual()
                .start(
                        () -> {
                            sleep(mBackAfterMillis);
                            // Its entry is removed after three heartbeats of silence.
                            mStore.put("keyed.servers", id, null);
                            if (!mClosed) {
                                restart(port);
                            }
                        });
    }

    private void restart(int port) {
        try {
            begin(port);
        } catch (IOException e) {
            mLog.line("a replica can't listen again: %s", e);
        }
    }

    /** Returns how many requests of others its crashes have cut off. */
    int cutOff() {
        return mCutOff;
    }

    List<Arrival> arrivals() {
        synchronized (mArrivals) {
            return List.copyOf(mArrivals);
        }
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        mClosed = true;
        mServer.close();
    }
}
