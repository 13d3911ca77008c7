import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of one start of a replica. It registers itself, writes there every heartbeat, runs the
 * requests that name its id, and answers 421 to others.
 */
final class Replica {
    static final long HEARTBEAT_MS = 1_200;

    /** What becomes of a request that a replica has begun to run. */
    interface Work {
        /** Answers the request; may crash the replica instead, after which it must return. */
        void run(Replica replica, Http.Request request, OutputStream out)
                throws IOException, InterruptedException;
    }

    /** Told of each request that reaches a replica. */
    interface Arrivals {
        void onArrival(Replica replica, Http.Request request, boolean runs);
    }

    final String id;
    final long born = System.currentTimeMillis();
    private final Store mStore;
    private final String mService;
    private final String mZone;
    private final int mSlots;
    private final InetSocketAddress mAddress;
    private final Work mWork;
    private final Arrivals mArrivals;
    private final long mColdUntilMillis;
    private final ServerSocket mServer;
    private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mHeld = new AtomicInteger();
    private volatile boolean mEnded;
    private volatile String mState = "ready";
    private long mSeq;

    Replica(
            String id,
            Store store,
            String service,
            String zone,
            int slots,
            InetSocketAddress address,
            long coldMillis,
            Work work,
            Arrivals arrivals)
            throws IOException {
        this.id = id;
        mStore = store;
        mService = service;
        mZone = zone;
        mSlots = slots;
        mAddress = address;
        mWork = work;
        mArrivals = arrivals;
        mColdUntilMillis = born + coldMillis;
        mServer = new ServerSocket();
        mServer.setReuseAddress(true);
        mServer.bind(address, 512);
        Thread.ofVirtual().start(this::accept);
        Thread.ofVirtual().start(this::beat);
    }

    boolean isCold() {
        return System.currentTimeMillis() < mColdUntilMillis;
    }

    boolean isEnded() {
        return mEnded;
    }

    /** Ends as a crash does: nothing listens any more, and each connection is reset. */
    synchronized void crash() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        try {
            mServer.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        for (Socket socket : mOpen) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // Its caller has closed it in the same moment.
            }
        }
        // The store drops the entry after three heartbeats of silence.
        Thread.ofVirtual()
                .start(
                        () -> {
                            pause(3 * HEARTBEAT_MS);
                            mStore.put("keyed.servers", id, null);
                        });
    }

    /** Reports that it is leaving, serves on for this time, and exits. */
    void drain(long millis) {
        mState = "draining";
        write();
        Thread.ofVirtual()
                .start(
                        () -> {
                            pause(millis + 500);
                            mEnded = true;
                            mStore.put("keyed.servers", id, null);
                            try {
                                mServer.close();
                                for (Socket socket : mOpen) {
                                    socket.close();
                                }
                            } catch (IOException e) {
                                throw new IllegalStateException(e);
                            }
                        });
    }

    private void accept() {
        while (!mEnded) {
            try {
                Socket socket = mServer.accept();
                mOpen.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void beat() {
        while (!mEnded) {
            write();
            pause(HEARTBEAT_MS);
        }
    }

    private synchronized void write() {
        long cold = Math.max(0, mColdUntilMillis - System.currentTimeMillis());
        mStore.put(
                "keyed.servers",
                id,
                "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\",\"cold_remaining_ms\":%d,\"seq\":%d,\"born\":%d}"
                        .formatted(
                                mService,
                                mAddress.getHostString(),
                                mAddress.getPort(),
                                mZone,
                                mSlots,
                                mState,
                                cold,
                                ++mSeq,
                                born));
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            var in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Request request = Http.read(in); request != null; request = Http.read(in)) {
                String attempt =
                        "Fescueport-Attempt-Id: " + request.header("Fescueport-Attempt-Id") + "\r\n";
                boolean runs = request.header("Fescueport-Expect-Replica").equals(id);
                if (mEnded) {
                    return;
                }
                mArrivals.onArrival(this, request, runs);
                if (!runs) {
                    Http.write(out, "421 Misdirected Request", attempt, new byte[0]);
                    continue;
                }
                mHeld.incrementAndGet();
                try {
                    mWork.run(this, request, out);
                } finally {
                    mHeld.decrementAndGet();
                }
            }
        } catch (IOException | InterruptedException e) {
            // The caller has gone, or this replica has.
        } finally {
            mOpen.remove(socket);
        }
    }

    /** Answers with success. */
    void answer(Http.Request request, OutputStream out, String text) throws IOException {
        if (mEnded) {
            return;
        }
        Http.write(
                out,
                "200 OK",
                "Fescueport-Attempt-Id: " + request.header("Fescueport-Attempt-Id")
                        + "\r\nFescueport-Replica-Stamp: " + id + "\r\nKeep-Alive: timeout=5\r\n"
                        + "Fescueport-Replica-Load: " + Math.min(mHeld.get(), mSlots) + ","
                        + Math.max(0, mHeld.get() - mSlots) + "," + mSlots + "\r\n",
                text.getBytes());
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
