package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A stand-in of a replica: it registers in the store, writes there again and again, and answers
 * requests. It writes every request that it runs into the record.
 */
final class Replica implements AutoCloseable {
    static final long HEARTBEAT_MS = 1_200;

    /** How a replica answers a request that it runs. */
    interface Work {
        void answer(Replica replica, Http.Message request, OutputStream out) throws Exception;
    }

    /** Called when a request begins to run. */
    interface Listener {
        void onRun(Replica replica, Http.Message request);
    }

    private static final AtomicLong STAMPS = new AtomicLong();

    private final String mId;
    private final String mService;
    private final Store mStore;
    private final Record mRecord;
    private final Work mWork;
    private final Listener mListener;
    private final ServerSocket mServer;
    private final long mBorn = System.currentTimeMillis();
    private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();
    private final AtomicLong mBeats = new AtomicLong();
    private volatile boolean mRegistered;
    private volatile boolean mClosed;

    Replica(String id, String service, Store store, Record record, Work work, Listener listener)
            throws IOException {
        mId = id;
        mService = service;
        mStore = store;
        mRecord = record;
        mWork = work;
        mListener = listener;
        mServer = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::accept);
    }

    String id() {
        return mId;
    }

    Replica register() {
        mRegistered = true;
        beat("ready");
        Thread.ofVirtual()
                .start(
                        () -> {
                            while (pause(HEARTBEAT_MS) && mRegistered) {
                                beat("ready");
                            }
                        });
        return this;
    }

    private synchronized void beat(String state) {
        if (mRegistered) {
            mStore.put(
                    "keyed.servers",
                    mId,
                    ("{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"north\","
                                    + "\"version\":\"v1\",\"slots\":16,\"state\":\"%s\","
                                    + "\"cold_remaining_ms\":0,\"seq\":%d,\"born\":%d}")
                            .formatted(
                                    mService,
                                    mServer.getLocalPort(),
                                    state,
                                    mBeats.incrementAndGet(),
                                    mBorn));
        }
    }

    /** Leaves without a word: its entry is removed, and it works on. Returns at the store's ack. */
    synchronized void unregister() {
        mRegistered = false;
        mStore.remove("keyed.servers", mId);
        mRecord.line("%s: entry removed, acknowledged", mId);
    }

    /** Says that it is leaving, and works on. Returns at the store's ack. */
    synchronized void drain() {
        beat("draining");
        mRegistered = false;
        mRecord.line("%s: draining, acknowledged", mId);
    }

    private static boolean pause(long millis) {
        try {
            Thread.sleep(millis);
            return true;
        } catch (InterruptedException e) {
            return false;
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mServer.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            }
        } catch (IOException e) {
            // Closed.
        }
    }

    private void serve(Socket socket) {
        mOpen.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            var in = new BufferedInputStream(socket.getInputStream());
            var out = socket.getOutputStream();
            for (var each = Http.readRequest(in); each != null; each = Http.readRequest(in)) {
                run(each, out);
            }
        } catch (Exception e) {
            // The router has closed the connection, or this replica has ended.
        } finally {
            mOpen.remove(socket);
        }
    }

    private void run(Http.Message request, OutputStream out) throws Exception {
        String expected = request.header("Fescueport-Expect-Replica");
        if (expected != null && !expected.equals(mId)) {
            String head =
                    "HTTP/1.1 421 Misdirected Request\r\nFescueport-Replica-Id: "
                            + mId
                            + "\r\nContent-Length: 0\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            return;
        }
        mListener.onRun(this, request);
        mRecord.line(
                "%s runs %s %s id=%s tenant=%s",
                mId,
                request.word(0),
                request.word(1),
                request.header("Fescueport-Attempt-Id"),
                request.header("Fescueport-Tenant"));
        mWork.answer(this, request, out);
    }

    /** Returns the head of a success with a stamp, up to the headers that the framing needs. */
    static String head(Http.Message request) {
        return "HTTP/1.1 200 OK\r\nFescueport-Attempt-Id: "
                + request.header("Fescueport-Attempt-Id")
                + "\r\nFescueport-Replica-Stamp: s"
                + STAMPS.incrementAndGet()
                + "\r\n";
    }

    /** Returns work that takes this long and answers with a short text. */
    static Work plain(long millis) {
        return (replica, request, out) -> {
            Thread.sleep(millis);
            String body = "done " + request.header("Fescueport-Attempt-Id") + "\n";
            String sent = request.word(0).equals("HEAD") ? "" : body;
            String text = head(request) + "Content-Length: " + body.length() + "\r\n\r\n" + sent;
            out.write(text.getBytes(StandardCharsets.US_ASCII));
        };
    }

    /** Ends at once, as a killed process does. */
    void crash() throws IOException {
        mClosed = true;
        mRegistered = false;
        mServer.close();
        for (Socket socket : mOpen) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        mRecord.line("%s: ended", mId);
    }

    @Override
    public void close() throws IOException {
        if (!mClosed) {
            crash();
        }
    }
}
