package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A stand-in of the platform's store: keyed topics with offsets, long reads and the newest record of
 * each key, as PROTOCOL.md describes them. It answers every call at once and in order.
 */
final class Store implements AutoCloseable {
    private record Entry(String key, byte[] value) {}

    private final ServerSocket mServer;
    private final Map<String, List<Entry>> mTopics = new HashMap<>();

    Store() throws IOException {
        mServer = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Thread.ofVirtual().start(this::accept);
    }

    int port() {
        return mServer.getLocalPort();
    }

    /** Writes a record; the return is the store's ack. */
    synchronized long put(String topic, String key, String value) {
        return append(topic, new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
    }

    /** Removes a key; the return is the store's ack. */
    synchronized long remove(String topic, String key) {
        return append(topic, new Entry(key, new byte[0]));
    }

    private long append(String topic, Entry entry) {
        List<Entry> entries = topic(topic);
        entries.add(entry);
        notifyAll();
        return entries.size() - 1;
    }

    private List<Entry> topic(String name) {
        return mTopics.computeIfAbsent(name, n -> new ArrayList<>());
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mServer.accept();
                Thread.ofVirtual().start(() -> serve(socket));
            }
        } catch (IOException e) {
            // Closed at the end.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            var in = new BufferedInputStream(socket.getInputStream());
            for (var call = Http.readRequest(in); call != null; call = Http.readRequest(in)) {
                answer(socket, call);
            }
        } catch (IOException | InterruptedException e) {
            // The caller has gone.
        }
    }

    private void answer(Socket socket, Http.Message call) throws IOException, InterruptedException {
        String target = call.word(1);
        int query = target.indexOf('?');
        Map<String, String> parameters = new HashMap<>();
        if (query >= 0) {
            for (String pair : target.substring(query + 1).split("&")) {
                String[] words = pair.split("=", 2);
                parameters.put(
                        words[0], java.net.URLDecoder.decode(words[1], StandardCharsets.UTF_8));
            }
        }
        String path = query < 0 ? target : target.substring(0, query);
        String topic = parameters.get("topic");
        switch (path) {
            case "/api/log-append" -> {
                if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
                    send(socket, 403, new byte[0]);
                    return;
                }
                long first = appendAll(topic, call.body());
                send(socket, 200, json("{\"offset\":%d,\"end\":%d}".formatted(first, first + 1)));
            }
            case "/api/log-newest" -> send(socket, 200, json(newest(topic)));
            case "/api/log-read" ->
                    send(
                            socket,
                            200,
                            read(
                                    topic,
                                    Integer.parseInt(parameters.get("from")),
                                    Long.parseLong(parameters.getOrDefault("wait_ms", "0"))));
            default -> send(socket, 404, new byte[0]);
        }
    }

    private static byte[] json(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static void send(Socket socket, int status, byte[] body) throws IOException {
        var out = new ByteArrayOutputStream();
        String head = "HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length + "\r\n\r\n";
        out.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
        out.writeBytes(body);
        socket.getOutputStream().write(out.toByteArray());
    }

    private synchronized long appendAll(String topic, byte[] body) {
        ByteBuffer records = ByteBuffer.wrap(body);
        long first = -1;
        while (records.hasRemaining()) {
            int length = records.getInt();
            byte[] key = new byte[Byte.toUnsignedInt(records.get())];
            records.get(key);
            byte[] value = new byte[length - 1 - key.length];
            records.get(value);
            long at = append(topic, new Entry(new String(key, StandardCharsets.UTF_8), value));
            first = first < 0 ? at : first;
        }
        return first;
    }

    private synchronized String newest(String topic) {
        List<Entry> entries = topic(topic);
        Map<String, Integer> last = new LinkedHashMap<>();
        for (int i = 0; i < entries.size(); i++) {
            last.put(entries.get(i).key(), i);
        }
        List<String> items = new ArrayList<>();
        last.forEach(
                (key, at) -> {
                    byte[] value = entries.get(at).value();
                    if (value.length > 0) {
                        items.add(
                                "{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%d}"
                                        .formatted(
                                                key,
                                                Base64.getEncoder().encodeToString(value),
                                                at));
                    }
                });
        return "{\"items\":[%s],\"has_more\":false,\"end\":%d}"
                .formatted(String.join(",", items), entries.size());
    }

    private synchronized byte[] read(String topic, int from, long waitMillis)
            throws InterruptedException {
        List<Entry> entries = topic(topic);
        long end = System.nanoTime() + waitMillis * 1_000_000;
        while (entries.size() <= from && end - System.nanoTime() > 1_000_000) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
        }
        var page = new ByteArrayOutputStream();
        page.writeBytes(ByteBuffer.allocate(16).putLong(entries.size()).putLong(0).array());
        for (Entry entry : entries.subList(Math.min(from, entries.size()), entries.size())) {
            byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
            int length = 1 + key.length + entry.value().length;
            page.writeBytes(
                    ByteBuffer.allocate(4 + length)
                            .putInt(length)
                            .put((byte) key.length)
                            .put(key)
                            .put(entry.value())
                            .array());
        }
        return page.toByteArray();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}
