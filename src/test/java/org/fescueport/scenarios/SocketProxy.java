package org.fescueport.scenarios;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Passes bytes on between sockets until a scenario cuts the connections. */
final class SocketProxy implements AutoCloseable {
    private final ServerSocket mServer;
    private final int mTarget;
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    private volatile boolean mDown;

    private SocketProxy(ServerSocket server, int target) {
        mServer = server;
        mTarget = target;
    }

    /** Starts a proxy in front of a port on the loopback address. */
    static SocketProxy start(int target) {
        try {
            var server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            var proxy = new SocketProxy(server, target);
            Thread.ofVirtual().start(proxy::accept);
            return proxy;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start a proxy", e);
        }
    }

    int port() {
        return mServer.getLocalPort();
    }

    /** Cuts all connections; new ones are cut too while {@code down} is true. */
    void cut(boolean down) {
        mDown = down;
        mSockets.forEach(SocketProxy::closeQuietly);
        mSockets.clear();
    }

    @Override
    public void close() {
        cut(true);
        closeQuietly(mServer);
    }

    private void accept() {
        try {
            while (true) {
                var near = mServer.accept();
                mSockets.add(near);
                if (mDown) {
                    closeQuietly(near);
                } else {
                    join(near);
                }
            }
        } catch (IOException e) {
            cut(true);
        }
    }

    /** Connects a caller to the target, or closes its connection when the target is down. */
    private void join(Socket near) {
        try {
            var far = new Socket(InetAddress.getLoopbackAddress(), mTarget);
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            mSockets.add(far);
            Thread.ofVirtual().start(() -> copy(near, far));
            Thread.ofVirtual().start(() -> copy(far, near));
        } catch (IOException e) {
            closeQuietly(near);
        }
    }

    private static void copy(Socket from, Socket to) {
        try {
            from.getInputStream().transferTo(to.getOutputStream());
        } catch (IOException e) {
            // One side is gone; both are closed below.
        }
        closeQuietly(from);
        closeQuietly(to);
    }

    private static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            throw new IllegalStateException("cannot close a socket", e);
        }
    }
}
