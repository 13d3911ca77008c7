import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server on a free loopback port, with one thread for each connection. */
final class HttpStub implements AutoCloseable {
    /** One request that has been read completely. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String path() {
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }

        Map<String, String> query() {
            Map<String, String> fields = new HashMap<>();
            int start = target.indexOf('?');
            for (String pair : start < 0 ? new String[0] : target.substring(start + 1).split("&")) {
                String[] parts = pair.split("=", 2);
                fields.put(parts[0], parts.length > 1 ? parts[1] : "");
            }
            return fields;
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(java.util.Locale.ROOT), "");
        }
    }

    record Answer(int status, String type, byte[] body) {
        static Answer of(int status, String json) {
            return new Answer(status, "application/json", json.getBytes(StandardCharsets.UTF_8));
        }
    }

    /** Answers the requests of {@link #start}. */
    interface Handler {
        Answer answer(Request request) throws InterruptedException;
    }

    /** Serves one connection; may keep it for several requests. */
    interface ConnectionHandler {
        void serve(Socket socket, InputStream in) throws IOException, InterruptedException;
    }

    private final ServerSocket mListener;
    private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();
    private final ConnectionHandler mHandler;

    private HttpStub(int port, ConnectionHandler handler) throws IOException {
        mHandler = handler;
        mListener = new ServerSocket();
        mListener.setReuseAddress(true);
        mListener.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
        Thread.ofVirtual().start(this::acceptAll);
    }

    static HttpStub start(Handler handler) throws IOException {
        return new HttpStub(0, (socket, in) -> serveAll(socket, in, handler));
    }

    /** Serves connections on a given port, or on a free one if it is 0. */
    static HttpStub raw(int port, ConnectionHandler handler) throws IOException {
        return new HttpStub(port, handler);
    }

    int port() {
        return mListener.getLocalPort();
    }

    private void acceptAll() {
        while (!mListener.isClosed()) {
            try {
                Socket socket = mListener.accept();
                mOpen.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            mHandler.serve(socket, new BufferedInputStream(socket.getInputStream()));
        } catch (IOException | InterruptedException e) {
            // The other side has left.
        } finally {
            mOpen.remove(socket);
        }
    }

    private static void serveAll(Socket socket, InputStream in, Handler handler)
            throws IOException, InterruptedException {
        for (Request request = read(in); request != null; request = read(in)) {
            Answer answer = handler.answer(request);
            String head =
                    "HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n"
                            .formatted(answer.status(), answer.type(), answer.body().length);
            byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
            byte[] whole = java.util.Arrays.copyOf(start, start.length + answer.body().length);
            System.arraycopy(answer.body(), 0, whole, start.length, answer.body().length);
            socket.getOutputStream().write(whole);
        }
    }

    /** Reads a request with a length or without a body; null at the end of the connection. */
    static Request read(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        String[] words = line.split(" ");
        Map<String, String> headers = new HashMap<>();
        for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(java.util.Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Request(words[0], words[1], headers, in.readNBytes(length));
    }

    static String readLine(InputStream in) throws IOException {
        var line = new StringBuilder();
        for (int value = in.read(); value != '\n'; value = in.read()) {
            if (value < 0) {
                return null;
            }
            line.append((char) value);
        }
        int end = line.length();
        return end > 0 && line.charAt(end - 1) == '\r' ? line.substring(0, end - 1) : line.toString();
    }

    /** Stops listening and resets all connections, as the crash of a process does. */
    void crash() {
        try {
            mListener.close();
            for (Socket socket : mOpen) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        } catch (IOException e) {
            // Closed already.
        }
    }

    @Override
    public void close() {
        crash();
    }
}
