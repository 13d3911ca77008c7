package org.fescueport.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes connections on over loopback, and disturbs them as it is told. */
public final class FaultProxy implements AutoCloseable {
    /** What happens to bytes on the way. */
    public enum Mode {
        PASS,
        /** Bytes come late. */
        DELAY,
        /** Nothing arrives, and nothing is said. */
        SILENT,
        /** What is asked arrives; answers do not. */
        ONE_WAY,
        /** New connections are closed at once. */
        REFUSE
    }

    private static final int DELAY_MS = 120;

    private final InetSocketAddress mTarget;
    private final ServerSocket mServer;
    private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();
    private volatile Mode mMode = Mode.PASS;

    private FaultProxy(InetSocketAddress target, ServerSocket server) {
        mTarget = target;
        mServer = server;
    }

    public static FaultProxy before(InetSocketAddress target) throws IOException {
        var server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        var proxy = new FaultProxy(target, server);
        Thread.ofVirtual().start(proxy::acceptAll);
        return proxy;
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) mServer.getLocalSocketAddress();
    }

    public void mode(Mode mode) {
        mMode = mode;
    }

    /** Resets all connections. */
    public void resetAll() {
        for (var socket : mOpen) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        resetAll();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket caller = mServer.accept();
                if (mMode == Mode.REFUSE) {
                    caller.close();
                    continue;
                }
                mOpen.add(caller);
                if (mServer.isClosed()) {
                    caller.close();
                }
                Thread.ofVirtual().start(() -> join(caller));
            }
        } catch (IOException e) {
            // The proxy was closed.
        }
    }

    private void join(Socket caller) {
        try {
            var target = new Socket();
            mOpen.add(target);
            target.setTcpNoDelay(true);
            caller.setTcpNoDelay(true);
            target.connect(mTarget, 1_000);
            Thread.ofVirtual().start(() -> pump(caller, target, false));
            pump(target, caller, true);
        } catch (IOException e) {
            close(caller);
        }
    }

    private void pump(Socket from, Socket to, boolean answers) {
        byte[] buffer = new byte[8_192];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int read = input.read(buffer); read >= 0; read = input.read(buffer)) {
                if (isHeld(answers)) {
                    // Bytes that a silent link has swallowed never arrive, so nor may later ones.
                    while (input.read(buffer) >= 0) {
                        continue;
                    }
                    return;
                }
                if (mMode == Mode.DELAY) {
                    Await.pause(DELAY_MS);
                }
                output.write(buffer, 0, read);
            }
            to.shutdownOutput();
        } catch (IOException e) {
            close(to);
            close(from);
        } finally {
            if (answers) {
                close(to);
                close(from);
                mOpen.remove(from);
                mOpen.remove(to);
            }
        }
    }

    private boolean isHeld(boolean answers) {
        return mMode == Mode.SILENT || (mMode == Mode.ONE_WAY && answers);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
