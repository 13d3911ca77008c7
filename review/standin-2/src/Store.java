import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stand-in of the platform's store: keyed topics of one partition that keep their whole history.
 * It answers {@code log-append}, {@code log-read} and {@code log-newest} as PROTOCOL.md says.
 */
final class Store implements AutoCloseable {
    private static final int MAX_READ_BYTES = 1_024 * 1_024;

    private record Record(String key, byte[] value, byte[] raw) {}

    private final Map<String, List<Record>> mTopics = new HashMap<>();
    private final HttpStub mServer;

    private Store() throws IOException {
        mServer = HttpStub.start(this::answer);
    }

    static Store start() throws IOException {
        return new Store();
    }

    int port() {
        return mServer.port();
    }

    /** Writes the newest value of a key; null removes the key. */
    synchronized long put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        byte[] raw =
                ByteBuffer.allocate(1 + name.length + content.length)
                        .put((byte) name.length)
                        .put(name)
                        .put(content)
                        .array();
        return append(topic, raw);
    }

    private synchronized long append(String topic, byte[] raw) {
        int length = Byte.toUnsignedInt(raw[0]);
        String key = new String(raw, 1, length, StandardCharsets.UTF_8);
        byte[] value = java.util.Arrays.copyOfRange(raw, 1 + length, raw.length);
        List<Record> records = records(topic);
        records.add(new Record(key, value, raw));
        notifyAll();
        return records.size() - 1;
    }

    private List<Record> records(String topic) {
        return mTopics.computeIfAbsent(topic, name -> new ArrayList<>());
    }

    private HttpStub.Answer answer(HttpStub.Request request) throws InterruptedException {
        Map<String, String> query = request.query();
        String topic = query.getOrDefault("topic", "");
        return switch (request.path()) {
            case "/api/log-append" -> onAppend(topic, request.body());
            case "/api/log-read" ->
                    onRead(
                            topic,
                            Integer.parseInt(query.get("from")),
                            Long.parseLong(query.getOrDefault("wait_ms", "0")));
            case "/api/log-newest" -> onNewest(topic);
            default -> HttpStub.Answer.of(404, "{}");
        };
    }

    private synchronized HttpStub.Answer onAppend(String topic, byte[] body) {
        if (!topic.equals("keyed.status")) {
            return HttpStub.Answer.of(403, "{}");
        }
        long first = records(topic).size();
        ByteBuffer bytes = ByteBuffer.wrap(body);
        while (bytes.remaining() >= Integer.BYTES) {
            byte[] raw = new byte[bytes.getInt()];
            bytes.get(raw);
            append(topic, raw);
        }
        long end = records(topic).size();
        return HttpStub.Answer.of(200, "{\"offset\":" + first + ",\"end\":" + end + "}");
    }

    private synchronized HttpStub.Answer onRead(String topic, int from, long waitMillis)
            throws InterruptedException {
        long until = System.nanoTime() + waitMillis * 1_000_000;
        List<Record> records = records(topic);
        while (records.size() <= from) {
            long left = (until - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                break;
            }
            wait(left);
        }
        try {
            var bytes = new ByteArrayOutputStream();
            var out = new DataOutputStream(bytes);
            out.writeLong(records.size());
            out.writeLong(0);
            for (int i = from; i < records.size() && bytes.size() < MAX_READ_BYTES; i++) {
                out.writeInt(records.get(i).raw().length);
                out.write(records.get(i).raw());
            }
            return new HttpStub.Answer(200, "application/octet-stream", bytes.toByteArray());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private synchronized HttpStub.Answer onNewest(String topic) {
        Map<String, String> newest = new LinkedHashMap<>();
        List<Record> records = records(topic);
        for (int i = 0; i < records.size(); i++) {
            Record record = records.get(i);
            newest.remove(record.key());
            if (record.value().length > 0) {
                String value = Base64.getEncoder().encodeToString(record.value());
                newest.put(
                        record.key(),
                        "{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%d}"
                                .formatted(record.key(), value, i));
            }
        }
        return HttpStub.Answer.of(
                200,
                "{\"items\":[%s],\"has_more\":false,\"end\":%d}"
                        .formatted(String.join(",", newest.values()), records.size()));
    }

    @Override
    public void close() {
        mServer.close();
    }
}
