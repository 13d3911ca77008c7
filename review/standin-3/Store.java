import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in of the platform's store: a log with topics of one partition each. It keeps all records,
 * answers at once, and serves log-append, log-read and log-newest as PROTOCOL.md tells.
 */
final class Store implements AutoCloseable {
    /** A record of a topic; value is null for a record that drops its key. */
    private record Entry(String key, byte[] value, byte[] raw) {}

    private final Map<String, List<Entry>> mTopics = new HashMap<>();
    private final ServerSocket mServer;
    private volatile boolean mClosed;

    Store(InetSocketAddress address) throws IOException {
        mServer = new ServerSocket();
        mServer.setReuseAddress(true);
        mServer.bind(address, 256);
        Thread.ofVirtual().start(this::accept);
    }

    @Override
    public void close() throws IOException {
        mClosed = true;
        mServer.close();
    }

    /** Appends a record and returns its offset; a null value drops the key. */
    synchronized long put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] bytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer raw = ByteBuffer.allocate(1 + name.length + bytes.length);
        raw.put((byte) name.length).put(name).put(bytes);
        return append(topic, raw.array());
    }

    private synchronized long append(String topic, byte[] raw) {
        int length = Byte.toUnsignedInt(raw[0]);
        String key = new String(raw, 1, length, StandardCharsets.UTF_8);
        byte[] value = Arrays.copyOfRange(raw, 1 + length, raw.length);
        List<Entry> entries = mTopics.computeIfAbsent(topic, t -> new ArrayList<>());
        entries.add(new Entry(key, value.length == 0 ? null : value, raw));
        notifyAll();
        return entries.size() - 1;
    }

    private void accept() {
        while (!mClosed) {
            try {
                Socket socket = mServer.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            var in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Request request = Http.read(in); request != null; request = Http.read(in)) {
                answer(request, out);
            }
        } catch (IOException | InterruptedException e) {
            // The caller has gone.
        }
    }

    private void answer(Http.Request request, OutputStream out)
            throws IOException, InterruptedException {
        String path = request.path();
        Map<String, String> query = request.query();
        String topic = query.getOrDefault("topic", "");
        switch (path) {
            case "/api/log-append" -> {
                ByteBuffer records = ByteBuffer.wrap(request.body());
                long first = -1;
                long last = 0;
                while (records.remaining() >= 4) {
                    byte[] raw = new byte[records.getInt()];
                    records.get(raw);
                    last = append(topic, raw);
                    first = first < 0 ? last : first;
                }
                String text = "{\"offset\":" + first + ",\"end\":" + (last + 1) + "}";
                Http.write(out, "200 OK", "Content-Type: application/json\r\n", text.getBytes());
            }
            case "/api/log-read" -> {
                long wait = Long.parseLong(query.getOrDefault("wait_ms", "0"));
                byte[] page = read(topic, Integer.parseInt(query.get("from")), wait);
                Http.write(out, "200 OK", "", page);
            }
            case "/api/log-newest" ->
                    Http.write(
                            out,
                            "200 OK",
                            "Content-Type: application/json\r\n",
                            newest(topic, query.get("after")).getBytes(StandardCharsets.UTF_8));
            default -> Http.write(out, "404 Not Found", "", new byte[0]);
        }
    }

    private synchronized byte[] read(String topic, int from, long waitMillis)
            throws InterruptedException {
        long until = System.nanoTime() + waitMillis * 1_000_000;
        List<Entry> entries = mTopics.computeIfAbsent(topic, t -> new ArrayList<>());
        while (entries.size() <= from && until - System.nanoTime() > 1_000_000) {
            wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
        }
        int size = 16;
        List<Entry> sent = new ArrayList<>();
        for (int i = from; i < entries.size() && size < 1_000_000; i++) {
            sent.add(entries.get(i));
            size += 4 + entries.get(i).raw().length;
        }
        ByteBuffer page = ByteBuffer.allocate(size);
        page.putLong(entries.size()).putLong(0);
        sent.forEach(entry -> page.putInt(entry.raw().length).put(entry.raw()));
        return page.array();
    }

    private synchronized String newest(String topic, String after) {
        List<Entry> entries = mTopics.computeIfAbsent(topic, t -> new ArrayList<>());
        var newest = new TreeMap<String, Integer>();
        for (int i = 0; i < entries.size(); i++) {
            if (entries.get(i).value() == null) {
                newest.remove(entries.get(i).key());
            } else {
                newest.put(entries.get(i).key(), i);
            }
        }
        var items = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (var each : newest.entrySet()) {
            if (after != null && each.getKey().compareTo(after) <= 0) {
                continue;
            }
            if (count == 500) {
                more = true;
                break;
            }
            String value =
                    Base64.getEncoder().encodeToString(entries.get(each.getValue()).value());
            items.append(count++ == 0 ? "" : ",")
                    .append("{\"key\":\"" + each.getKey() + "\",\"value\":\"" + value)
                    .append("\",\"offset\":" + each.getValue() + "}");
        }
        return "{\"items\":[" + items + "],\"has_more\":" + more + ",\"end\":" + entries.size() + "}";
    }
}
