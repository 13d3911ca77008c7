package org.fescueport.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;
import org.fescueport.internal.direct.state.NodeRecord;
import org.fescueport.internal.direct.state.StateDecoder;
import org.fescueport.platform.RawServer.Request;
import org.fescueport.platform.RawServer.Wire;

/**
 * A small stand-in of the platform's store: keyed topics with offsets, waits and a history, and
 * copies of all of it, from which it comes back.
 */
public final class StoreStandIn implements AutoCloseable {
    /** How it answers. */
    public enum Mode {
        GOOD,
        BUSY,
        MANY,
        SILENT,
        RESET,
        GARBAGE,
        /** Each answer takes some fifty times as long as usual. */
        SLOW,
        /** Appends are done and not answered. */
        LOST
    }

    private static final long SLOW_MS = 200;

    /** Size in bytes of the records in a page, which only the last record may exceed. */
    private static final int PAGE_BYTES = 1_024 * 1_024;

    private static final String NODES = "keyed.status";

    private record Entry(String key, byte[] value) {}

    private static final class Topic {
        private final List<Entry> mEntries = new ArrayList<>();
        private int mFirst;

        private Topic copy() {
            var copy = new Topic();
            copy.mEntries.addAll(mEntries);
            copy.mFirst = mFirst;
            return copy;
        }
    }

    /** All that the store held at a moment. */
    public static final class Copy {
        private final Map<String, Topic> mTopics = new HashMap<>();
    }

    private final RawServer mServer;
    private Map<String, Topic> mTopics = new HashMap<>();
    private volatile int mPageSize = Integer.MAX_VALUE;
    private volatile int mPagePauseMillis;
    private String mEra = "";
    private final List<String> mCalls = new ArrayList<>();
    private Mode mMode = Mode.GOOD;
    private UnaryOperator<InetSocketAddress> mShown = address -> address;

    private StoreStandIn() throws IOException {
        mServer = RawServer.start(this::answer);
    }

    public static StoreStandIn start() throws IOException {
        return new StoreStandIn();
    }

    public InetSocketAddress address() {
        return mServer.address();
    }

    int connections() {
        return mServer.connections();
    }

    public synchronized void mode(Mode mode) {
        mMode = mode;
        notifyAll();
    }

    /** From now on each answer names this era; an empty text is left out. */
    public synchronized void era(String era) {
        mEra = era;
    }

    /** Returns all that it holds now. */
    public synchronized Copy copy() {
        var copy = new Copy();
        mTopics.forEach((name, topic) -> copy.mTopics.put(name, topic.copy()));
        return copy;
    }

    /** Comes back from a copy in another era; all that was written since is gone. */
    public synchronized void comeBack(Copy copy, long era) {
        mTopics = new HashMap<>();
        copy.mTopics.forEach((name, topic) -> mTopics.put(name, topic.copy()));
        mEra = Long.toString(era);
        notifyAll();
    }

    /** From now on nodes find each other at these addresses, in place of those they give. */
    public synchronized void showNodesAt(UnaryOperator<InetSocketAddress> shown) {
        mShown = shown;
    }

    /** Returns the calls so far, as path and query. */
    synchronized List<String> calls() {
        return List.copyOf(mCalls);
    }

    public synchronized long put(String topic, String key, String value) {
        return append(topic, key, value.getBytes(StandardCharsets.UTF_8));
    }

    /** Writes a configuration, as the operator does. */
    public void configure(String configuration) {
        put("keyed.op", "config", configuration);
    }

    /** Writes a record; an empty value removes the key. */
    public synchronized long append(String topic, String key, byte[] value) {
        Topic records = topic(topic);
        records.mEntries.add(new Entry(key, value));
        notifyAll();
        return records.mEntries.size() - 1;
    }

    /** Removes a key. */
    public synchronized void remove(String topic, String key) {
        append(topic, key, new byte[0]);
    }

    /** Drops the history; the newest record of each key stays. */
    public synchronized void compact(String topic) {
        topic(topic).mFirst = topic(topic).mEntries.size();
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }

    private Topic topic(String name) {
        return mTopics.computeIfAbsent(name, n -> new Topic());
    }

    private void answer(Request request, Wire wire) throws Exception {
        Mode mode;
        synchronized (this) {
            mCalls.add(request.target());
            mode = mMode;
        }
        switch (mode) {
            case BUSY -> answer(wire, 503, new byte[0]);
            case MANY -> answer(wire, 429, new byte[0]);
            case SILENT -> wire.awaitClose();
            case RESET -> wire.reset();
            case GARBAGE -> answer(wire, 200, "nonsense".getBytes(StandardCharsets.UTF_8));
            case LOST -> {
                if (request.method().equals("POST")) {
                    appendAll(request);
                    wire.awaitClose();
                } else {
                    answerWell(request, wire);
                }
            }
            case SLOW -> {
                Await.pause(SLOW_MS);
                answerWell(request, wire);
            }
            case GOOD -> answerWell(request, wire);
            default -> throw new IllegalStateException("mode " + mode);
        }
    }

    private void answer(Wire wire, int status, byte[] body) throws IOException {
        String era;
        synchronized (this) {
            era = mEra;
        }
        wire.answer(status, era.isEmpty() ? "" : "Store-Era: " + era + "\r\n", body);
    }

    private void answerWell(Request request, Wire wire) throws Exception {
        String path = request.target().substring(0, request.target().indexOf('?'));
        switch (path) {
            case "/api/log-append" -> {
                long offset = appendAll(request);
                String json = "{\"offset\":" + offset + ",\"end\":" + (offset + 1) + "}";
                answer(wire, 200, json.getBytes(StandardCharsets.UTF_8));
            }
            case "/api/log-newest" -> {
                if (request.parameter("after") != null) {
                    Await.pause(mPagePauseMillis);
                }
                answer(wire, 200, newest(request.parameter("topic"), request.parameter("after")));
            }
            case "/api/log-read" -> read(request, wire);
            default -> answer(wire, 404, new byte[0]);
        }
    }

    private synchronized long appendAll(Request request) {
        ByteBuffer body = ByteBuffer.wrap(request.body());
        long first = -1;
        while (body.hasRemaining()) {
            int length = body.getInt();
            byte[] key = new byte[Byte.toUnsignedInt(body.get())];
            body.get(key);
            byte[] value = new byte[length - 1 - key.length];
            body.get(value);
            String name = new String(key, StandardCharsets.UTF_8);
            String topic = request.parameter("topic");
            long offset = append(topic, name, topic.equals(NODES) ? shown(value) : value);
            first = first < 0 ? offset : first;
        }
        return first;
    }

    private NodeRecord shown(NodeRecord node) {
        return new NodeRecord(mShown.apply(node.address()), node.domain(), node.rank());
    }

    private byte[] shown(byte[] node) {
        try {
            return RecordDecoder.nodeRecord(shown(new RecordDecoder().node(node)));
        } catch (StateDecoder.UnusableRecordException e) {
            throw new IllegalArgumentException("a node has written what none can read", e);
        }
    }

    /**
     * Gives out lists of newest records in pages of this size, each but the first after a pause.
     */
    public void pages(int size, int pauseMillis) {
        mPageSize = size;
        mPagePauseMillis = pauseMillis;
    }

    private synchronized byte[] newest(String name, String after) {
        List<Entry> entries = topic(name).mEntries;
        Map<String, Integer> last = new LinkedHashMap<>();
        for (int i = 0; i < entries.size(); i++) {
            last.put(entries.get(i).key(), i);
        }
        List<String> items = new ArrayList<>();
        last.values().removeIf(offset -> entries.get(offset).value().length == 0);
        List<String> keys = new ArrayList<>(last.keySet());
        int from = after == null ? 0 : keys.indexOf(after) + 1;
        int most = (int) Math.min(keys.size(), (long) from + mPageSize);
        int to = from;
        for (int bytes = 0; to < most && bytes < PAGE_BYTES; to++) {
            bytes += entries.get(last.get(keys.get(to))).value().length;
        }
        keys.subList(from, to)
                .forEach(
                        key -> {
                            int offset = last.get(key);
                            byte[] value = entries.get(offset).value();
                            String encoded = Base64.getEncoder().encodeToString(value);
                            items.add(
                                    "{\"key\":\"%s\",\"value\":\"%s\",\"offset\":%d}"
                                            .formatted(escaped(key), encoded, offset));
                        });
        String json =
                "{\"items\":[%s],\"has_more\":%b,\"end\":%d}"
                        .formatted(String.join(",", items), to < keys.size(), entries.size());
        return json.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns a text for a JSON string, in ASCII alone, as the platform's store writes it. */
    private static String escaped(String text) {
        var escaped = new StringBuilder();
        for (char c : text.toCharArray()) {
            boolean plain = c > ' ' && c < 0x7f && c != '"' && c != '\\';
            escaped.append(plain ? String.valueOf(c) : "\\u%04x".formatted((int) c));
        }
        return escaped.toString();
    }

    private void read(Request request, Wire wire) throws Exception {
        String wait = request.parameter("wait_ms");
        int from = Integer.parseInt(request.parameter("from"));
        byte[] page;
        synchronized (this) {
            String name = request.parameter("topic");
            long end = System.nanoTime() + (wait == null ? 0 : Long.parseLong(wait)) * 1_000_000;
            while (topic(name).mEntries.size() == from && end - System.nanoTime() > 1_000_000) {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            }
            Topic topic = topic(name);
            if (from < topic.mFirst || from > topic.mEntries.size()) {
                answer(wire, 410, ("{\"first\":" + topic.mFirst + "}").getBytes());
                return;
            }
            page = page(topic, from);
        }
        answer(wire, 200, page);
    }

    private static byte[] page(Topic topic, int from) {
        var page = new ByteArrayOutputStream();
        ByteBuffer head = ByteBuffer.allocate(16).putLong(topic.mEntries.size());
        page.writeBytes(head.putLong(topic.mFirst).array());
        for (int i = from; i < topic.mEntries.size() && page.size() < PAGE_BYTES; i++) {
            Entry entry = topic.mEntries.get(i);
            page.writeBytes(LogStore.keyedRecord(entry.key(), entry.value()));
        }
        return page.toByteArray();
    }
}
