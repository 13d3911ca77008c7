package org.fescueport.internal.http;

import java.net.SocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.apache.hc.core5.http.EndpointDetails;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;
import org.apache.hc.core5.util.Timeout;

/** The open connections of one server or caller, found by the addresses of both ends. */
final class OpenConnections implements IOSessionListener {
    /** Both ends: the system may give one local port to connections to several servers. */
    private record Ends(SocketAddress local, SocketAddress remote) {}

    private final Map<String, Connection> mById = new ConcurrentHashMap<>();
    private final Map<Ends, Connection> mByEnds = new ConcurrentHashMap<>();
    private final Map<String, GatedSession.Gate> mGates = new ConcurrentHashMap<>();
    private final int mMost;
    private final Runnable mRefused;

    private OpenConnections(int most, Runnable refused) {
        mMost = most;
        mRefused = refused;
    }

    /** Connections that callers opened; those above {@code most} are closed and told of. */
    static OpenConnections ofServer(int most, Runnable refused) {
        return new OpenConnections(most, refused);
    }

    /** Connections that this process opened. */
    static OpenConnections ofCaller() {
        return new OpenConnections(Integer.MAX_VALUE, () -> {});
    }

    /** Puts a gate before the reads of a session that is about to be connected. */
    IOSession gate(IOSession session) {
        var gate = new GatedSession.Gate();
        mGates.put(session.getId(), gate);
        return GatedSession.of(session, gate);
    }

    /** Returns the connection, or null when it is closed. */
    Connection find(EndpointDetails endpoint) {
        return mByEnds.get(new Ends(endpoint.getLocalAddress(), endpoint.getRemoteAddress()));
    }

    void forEach(Consumer<Connection> action) {
        mById.values().forEach(action);
    }

    /** Tells the exchanges of a session that its other end has closed. */
    void peerClosed(String sessionId) {
        Connection connection = mById.get(sessionId);
        if (connection != null) {
            connection.peerClosed();
        }
    }

    int size() {
        return mById.size();
    }

    @Override
    public void connected(IOSession session) {
        if (mById.size() >= mMost) {
            mRefused.run();
            session.close(CloseMode.IMMEDIATE);
            return;
        }
        Ends ends = new Ends(session.getLocalAddress(), session.getRemoteAddress());
        Connection connection = new Connection(session, ends, mGates.remove(session.getId()));
        mById.put(session.getId(), connection);
        mByEnds.put(ends, connection);
    }

    @Override
    public void disconnected(IOSession session) {
        mGates.remove(session.getId());
        Connection connection = mById.remove(session.getId());
        if (connection != null) {
            mByEnds.remove(connection.mEnds, connection);
        }
    }

    @Override
    public void startTls(IOSession session) {}

    @Override
    public void inputReady(IOSession session) {}

    @Override
    public void outputReady(IOSession session) {}

    @Override
    public void timeout(IOSession session) {}

    @Override
    public void exception(IOSession session, Exception failure) {}

    /** One open connection and the exchanges that run on it. */
    static final class Connection {
        private static final long UNSEEN = Long.MIN_VALUE;

        private final IOSession mSession;
        private final Ends mEnds;
        private final GatedSession.Gate mGate;
        private final Set<Runnable> mRunning = new HashSet<>();
        private long mIdleSinceNanos = UNSEEN;

        private Connection(IOSession session, Ends ends, GatedSession.Gate gate) {
            mSession = session;
            mEnds = ends;
            mGate = gate == null ? new GatedSession.Gate() : gate;
        }

        /**
         * Notes that an exchange began and returns how many run now.
         *
         * @param onPeerClosed called when the other end closes while the exchange runs
         */
        synchronized int begin(Runnable onPeerClosed) {
            mRunning.add(onPeerClosed);
            return mRunning.size();
        }

        synchronized void end(Runnable onPeerClosed, long nowNanos) {
            mRunning.remove(onPeerClosed);
            mIdleSinceNanos = nowNanos;
        }

        private void peerClosed() {
            List<Runnable> running;
            synchronized (this) {
                running = List.copyOf(mRunning);
            }
            running.forEach(Runnable::run);
        }

        /** Returns whether no exchange ran for {@code nanos}; counts from the first look at it. */
        synchronized boolean isIdleFor(long nanos, long nowNanos) {
            if (!mRunning.isEmpty()) {
                return false;
            }
            if (mIdleSinceNanos == UNSEEN) {
                mIdleSinceNanos = nowNanos;
            }
            return nowNanos - mIdleSinceNanos >= nanos;
        }

        /** Lets the connection be silent for as long as a call may take. */
        void allowSilence() {
            mSession.setSocketTimeout(Timeout.DISABLED);
        }

        /** Reads nothing more until {@link #resumeReading}. */
        void stopReading() {
            mGate.shut();
        }

        void resumeReading() {
            mGate.open();
        }

        void close() {
            mSession.close(CloseMode.IMMEDIATE);
        }
    }
}
