package org.fescueport.internal.http;

import java.net.SocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;

/** The open connections of one server or caller, found by the address of their other end. */
final class OpenConnections implements IOSessionListener {
    private final Map<String, Connection> mById = new ConcurrentHashMap<>();
    private final Map<SocketAddress, Connection> mByAddress = new ConcurrentHashMap<>();
    private final Function<IOSession, SocketAddress> mAddressOf;
    private final int mMost;
    private final Runnable mRefused;

    private OpenConnections(
            Function<IOSession, SocketAddress> addressOf, int most, Runnable refused) {
        mAddressOf = addressOf;
        mMost = most;
        mRefused = refused;
    }

    /** Connections that callers opened; those above {@code most} are closed and told of. */
    static OpenConnections ofServer(int most, Runnable refused) {
        return new OpenConnections(IOSession::getRemoteAddress, most, refused);
    }

    /** Connections that this process opened, each found by its own local address. */
    static OpenConnections ofCaller() {
        return new OpenConnections(IOSession::getLocalAddress, Integer.MAX_VALUE, () -> {});
    }

    /** Returns the connection, or null when it is closed. */
    Connection find(SocketAddress address) {
        return address == null ? null : mByAddress.get(address);
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
        SocketAddress address = mAddressOf.apply(session);
        if (address == null || mById.size() >= mMost) {
            mRefused.run();
            session.close(CloseMode.IMMEDIATE);
            return;
        }
        Connection connection = new Connection(session, address);
        mById.put(session.getId(), connection);
        mByAddress.put(address, connection);
    }

    @Override
    public void disconnected(IOSession session) {
        Connection connection = mById.remove(session.getId());
        if (connection != null) {
            mByAddress.remove(connection.mAddress, connection);
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
        private final SocketAddress mAddress;
        private final Set<Runnable> mRunning = new HashSet<>();
        private long mIdleSinceNanos = UNSEEN;

        private Connection(IOSession session, SocketAddress address) {
            mSession = session;
            mAddress = address;
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

        void close() {
            mSession.close(CloseMode.IMMEDIATE);
        }
    }
}
