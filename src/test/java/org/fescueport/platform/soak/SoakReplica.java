package org.fescueport.platform.soak;

import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.fescueport.platform.FaultProxy;
import org.fescueport.platform.RawServer;
import org.fescueport.platform.StoreStandIn;

/** A replica behind a proxy; what it answers names the request, so that no other can be taken. */
final class SoakReplica implements AutoCloseable {
    /** Events of a whole stream. */
    static final int EVENTS = 12;

    private static final long EVENT_NANOS = TimeUnit.MILLISECONDS.toNanos(15);

    private final String mId;
    private final String mService;
    private final SoakRecords mRecords;
    private final SplittableRandom mRandom;
    private final RawServer mServer;
    private final FaultProxy mProxy;
    private final AtomicInteger mWords = new AtomicInteger();
    private volatile double mFailing;

    SoakReplica(String id, String service, SoakRecords records, long seed) throws IOException {
        mId = id;
        mService = service;
        mRecords = records;
        mRandom = new SplittableRandom(seed);
        mServer = RawServer.start(this::answer);
        mProxy = FaultProxy.before(mServer.address());
    }

    /** Returns the body of a whole answer to a plain request. */
    static String bodyFor(String requestId) {
        return "answer to " + requestId + " that is whole";
    }

    /** Returns an event of a stream. */
    static String event(String requestId, int number) {
        return "id: " + number + "\ndata: " + requestId + " " + number + " of " + EVENTS + "\n\n";
    }

    String id() {
        return mId;
    }

    FaultProxy proxy() {
        return mProxy;
    }

    /** Lets this part of the requests end without an answer after they ran. */
    void failing(double share) {
        mFailing = share;
    }

    void register(StoreStandIn store, String state) {
        int port = mProxy.address().getPort();
        store.put(
                "keyed.servers",
                mId,
                """
                {"service":"%s","address":"127.0.0.1:%d","zone":"north","version":"v1",\
                "slots":8,"state":"%s","cold_remaining_ms":0,"seq":%d,"born":1700000000000}"""
                        .formatted(mService, port, state, mWords.incrementAndGet()));
    }

    @Override
    public void close() throws IOException {
        mProxy.close();
        mServer.close();
    }

    private void answer(RawServer.Request request, RawServer.Wire wire) throws Exception {
        String id = request.header("Fescueport-Attempt-Id");
        if (!mId.equals(request.header("Fescueport-Expect-Replica"))) {
            wire.answer(421, "Fescueport-Replica-Id: " + mId + "\r\n", new byte[0]);
            return;
        }
        mRecords.onRun(id, mId, request);
        boolean lost;
        synchronized (mRandom) {
            lost = mRandom.nextDouble() < mFailing;
        }
        if (lost) {
            wire.reset();
        } else if (request.target().startsWith("/stream/")) {
            stream(id, request, wire);
        } else {
            LockSupport.parkNanos(EVENT_NANOS);
            wire.answer(200, head(id), bodyFor(id).getBytes());
        }
    }

    private static void stream(String id, RawServer.Request request, RawServer.Wire wire)
            throws IOException {
        String last = request.header("Last-Event-Id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        wire.write("HTTP/1.1 200 OK\r\n" + head(id) + "Transfer-Encoding: chunked\r\n\r\n");
        for (int number = first; number <= EVENTS; number++) {
            String event = event(id, number);
            wire.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            LockSupport.parkNanos(EVENT_NANOS);
        }
        wire.write("0\r\n\r\n");
    }

    private static String head(String id) {
        return "Fescueport-Attempt-Id: "
                + id
                + "\r\nFescueport-Replica-Stamp: stamp\r\nKeep-Alive: timeout=5\r\n";
    }
}
