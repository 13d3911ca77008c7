package org.fescueport.internal.direct.state;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.jmock.lib.concurrent.DeterministicScheduler;

/** A simulated store on the paused clock: a log that can be restored from backups of itself. */
final class ModelStore {
    /** How the store handles a node's call. */
    enum Mode {
        GOOD,
        TURNED_AWAY,
        SILENT,
        /** Reads fail as if the requested offsets had expired. */
        GONE
    }

    private static final Duration RESPONSE_TIME = Duration.ofMillis(4);
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(900);

    private record Entry(String key, Optional<byte[]> value) {}

    private final DeterministicScheduler mScheduler;
    private Map<StateTopic, List<Entry>> mTopics = newTopics();
    private long mEra = 1;
    private long mCalls;
    private long mWrites;
    private Mode mMode = Mode.GOOD;

    ModelStore(DeterministicScheduler scheduler) {
        mScheduler = scheduler;
    }

    private static Map<StateTopic, List<Entry>> newTopics() {
        Map<StateTopic, List<Entry>> topics = new EnumMap<>(StateTopic.class);
        for (var topic : StateTopic.values()) {
            topics.put(topic, new ArrayList<>());
        }
        return topics;
    }

    void mode(Mode mode) {
        mMode = mode;
    }

    long calls() {
        return mCalls;
    }

    long writes() {
        return mWrites;
    }

    long append(StateTopic topic, String key, Optional<byte[]> value) {
        mTopics.get(topic).add(new Entry(key, value));
        return mTopics.get(topic).size() - 1;
    }

    Map<StateTopic, Integer> sizes() {
        Map<StateTopic, Integer> sizes = new EnumMap<>(StateTopic.class);
        mTopics.forEach((topic, entries) -> sizes.put(topic, entries.size()));
        return sizes;
    }

    /** Restores the store from a backup taken when it had these sizes. */
    void restoreFromCopy(Map<StateTopic, Integer> sizes) {
        mTopics.forEach(
                (topic, entries) -> entries.subList(sizes.get(topic), entries.size()).clear());
        mEra++;
    }

    /** Returns the store as seen by one node. */
    StateStore forNode(EraTracker eras, Supplier<Mode> own) {
        return new NodeStore(eras, own);
    }

    private final class NodeStore implements StateStore {
        private final EraTracker mEras;
        private final Supplier<Mode> mNodeMode;

        NodeStore(EraTracker eras, Supplier<Mode> own) {
            mEras = eras;
            mNodeMode = own;
        }

        private Mode mode() {
            return mMode == Mode.GOOD ? mNodeMode.get() : mMode;
        }

        @Override
        public CompletableFuture<Page> newest(
                StateTopic topic, Consumer<List<StateRecord>> onPart) {
            return call(Duration.ZERO, () -> newestPage(topic));
        }

        @Override
        public CompletableFuture<Page> read(
                StateTopic topic, StorePosition from, Duration patience) {
            return call(patience, () -> page(topic, from.offset()));
        }

        @Override
        public CompletableFuture<StorePosition> registerNode(String node, NodeRecord record) {
            mWrites++;
            return call(
                    Duration.ZERO,
                    () -> {
                        byte[] value = HeartbeatDecoder.nodeRecord(record);
                        long offset = append(StateTopic.NODES, node, Optional.of(value));
                        return StorePosition.of(mEra, offset);
                    });
        }

        private <T> CompletableFuture<T> call(Duration patience, ResponseSupplier<T> work) {
            mCalls++;
            var answer = new CompletableFuture<T>();
            Mode mode = mode();
            Duration time = mode == Mode.SILENT ? CALL_TIMEOUT : RESPONSE_TIME.plus(patience);
            Runnable end = () -> complete(answer, mode, work);
            mScheduler.schedule(end, time.toNanos(), TimeUnit.NANOSECONDS);
            return answer;
        }

        private <T> void complete(
                CompletableFuture<T> answer, Mode mode, ResponseSupplier<T> work) {
            try {
                if (mode == Mode.SILENT) {
                    throw StoreException.of(StoreException.Cause.UNANSWERED, "silent");
                }
                mEras.onResponse(new EraReport.Reported(mEra));
                if (mode == Mode.TURNED_AWAY) {
                    throw StoreException.of(StoreException.Cause.TURNED_AWAY, "503");
                }
                answer.complete(work.answer());
            } catch (StoreException e) {
                answer.completeExceptionally(e);
            }
        }

        private Page newestPage(StateTopic topic) {
            Map<String, StateRecord> newest = new LinkedHashMap<>();
            for (var record : records(topic, 0)) {
                newest.remove(record.key());
                if (record.value().isPresent()) {
                    newest.put(record.key(), record);
                }
            }
            return new Page(List.copyOf(newest.values()), end(topic));
        }

        private Page page(StateTopic topic, long from) throws StoreException {
            if (from > mTopics.get(topic).size() || mode() == Mode.GONE) {
                throw StoreException.of(StoreException.Cause.HISTORY_GONE, "410");
            }
            return new Page(records(topic, from), end(topic));
        }

        private List<StateRecord> records(StateTopic topic, long from) {
            List<StateRecord> records = new ArrayList<>();
            List<Entry> entries = mTopics.get(topic);
            for (long i = from; i < entries.size(); i++) {
                Entry entry = entries.get((int) i);
                records.add(new StateRecord(StorePosition.of(mEra, i), entry.key(), entry.value()));
            }
            return records;
        }

        private StorePosition end(StateTopic topic) {
            return StorePosition.of(mEra, mTopics.get(topic).size());
        }
    }

    /** Computes the content of a response at the time it is sent. */
    @FunctionalInterface
    private interface ResponseSupplier<T> {
        T answer() throws StoreException;
    }
}
