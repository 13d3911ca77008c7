package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A proxy before an address, whose connections can be reset and refused, or held up. */
final class Link implements AutoCloseable {
    private final ServerSocket mServer;
    private final int mTarget;
    private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();
    private volatile boolean mCut;
    private volatile boolean mHeld;

    Link(int target) throws IOException {
        mTarget = target;
        mServer = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::accept);
    }

    int port() {
        return mServer.getLocalPort();
    }

    /** Resets what is open and each new connection until the cut is over. */
    void cut(boolean cut) throws IOException {
        mCut = cut;
        if (cut) {
            resetAll();
        }
    }

    /** Lets nothing through until it is released; nothing is lost. */
    synchronized void hold(boolean held) {
        mHeld = held;
        notifyAll();
    }

    /** Resets what is open; new connections work. */
    void resetAll() throws IOException {
        for (Socket socket : mOpen) {
            reset(socket);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It was closed already.
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mServer.accept();
                if (mCut) {
                    reset(socket);
                } else {
                    Thread.ofVirtual().start(() -> join(socket));
                }
            }
        } catch (IOException e) {
            // Closed at the end.
        }
    }

    private void join(Socket near) {
        try {
            Socket far = new Socket(InetAddress.getByName("127.0.0.1"), mTarget);
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            mOpen.add(near);
            mOpen.add(far);
            Thread.ofVirtual().start(() -> copy(near, far));
            copy(far, near);
        } catch (IOException e) {
            reset(near);
        }
    }

    private void copy(Socket from, Socket to) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] bytes = new byte[65_536];
            for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                waitWhileHeld();
                out.write(bytes, 0, n);
            }
            to.shutdownOutput();
        } catch (IOException | InterruptedException e) {
            reset(from);
            reset(to);
        } finally {
            mOpen.remove(from);
        }
    }

    private synchronized void waitWhileHeld() throws InterruptedException {
        while (mHeld) {
            wait();
        }
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        resetAll();
    }
}
