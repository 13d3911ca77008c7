package org.fescueport.platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Serves HTTP/1.1 from plain sockets, so that a script can answer in any wrong way as well. */
public final class RawServer implements AutoCloseable {
    /** A request as it came; names of headers in lower case. */
    public record Request(String method, String target, Map<String, String> headers, byte[] body) {
        public String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        public String parameter(String name) {
            for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return pair.substring(name.length() + 1);
                }
            }
            return null;
        }
    }

    /** Where a script writes its answer. */
    public record Wire(Socket socket, OutputStream output) {
        public void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.UTF_8));
        }

        public void write(byte[] bytes) throws IOException {
            output.write(bytes);
            output.flush();
        }

        public void answer(int status, String headers, byte[] body) throws IOException {
            String head =
                    "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length;
            var all = new ByteArrayOutputStream();
            all.writeBytes((head + "\r\n\r\n").getBytes(StandardCharsets.UTF_8));
            all.writeBytes(body);
            write(all.toByteArray());
        }

        /** Resets the connection. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Returns once the other side has closed the connection. */
        public void awaitClose() {
            try {
                while (socket.getInputStream().read() >= 0) {
                    // What still comes is of no interest.
                }
            } catch (IOException e) {
                // A reset is an end too.
            }
        }
    }

    /** Answers one request; an exception ends the connection. */
    @FunctionalInterface
    public interface Script {
        void answer(Request request, Wire wire) throws Exception;

        /** Returns whether it is given requests whole; otherwise once their heads have come. */
        default boolean awaitsBody() {
            return true;
        }
    }

    private final ServerSocket mServer;
    private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();
    private volatile Script mScript;

    private RawServer(ServerSocket server, Script script) {
        mServer = server;
        mScript = script;
    }

    public static RawServer start(Script script) throws IOException {
        var server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        var raw = new RawServer(server, script);
        Thread.ofVirtual().start(raw::acceptAll);
        return raw;
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) mServer.getLocalSocketAddress();
    }

    void script(Script script) {
        mScript = script;
    }

    int connections() {
        return mOpen.size();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        for (var socket : mOpen) {
            socket.close();
        }
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = mServer.accept();
                mOpen.add(socket);
                if (mServer.isClosed()) {
                    socket.close();
                }
                Thread.ofVirtual().start(() -> serve(socket));
            }
        } catch (IOException e) {
            // The server was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            var wire = new Wire(socket, socket.getOutputStream());
            Request request = read(input, mScript.awaitsBody());
            while (request != null) {
                mScript.answer(request, wire);
                request = read(input, mScript.awaitsBody());
            }
        } catch (Exception e) {
            // A script that fails, or a connection that ends, ends the connection.
        } finally {
            mOpen.remove(socket);
        }
    }

    private static Request read(InputStream input, boolean withBody) throws IOException {
        String start = RawHttp.readLine(input);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = RawHttp.readHeaders(input);
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = input.readNBytes(withBody ? length : 0);
        String[] words = start.split(" ");
        return new Request(words[0], words[1], headers, body);
    }
}
