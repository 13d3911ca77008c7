package org.fescueport.internal.direct.state;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.fescueport.internal.direct.log.EventLog;

/**
 * Puts this node's record into the store, and reads who stood there before it.
 *
 * <p>A store that has come back from a copy may have lost the record, so it is written again. The
 * node keeps the rank that the first one gave it, and the record says so: a rank is an era and an
 * offset in it, which are given out once. Used by the event loop alone.
 */
public final class NodeRegistrar {
    private static final Duration RETRY_DELAY = Duration.ofMillis(1_000);

    /** All nodes write again within this time, so that the store is not met by all at once. */
    private static final Duration MAX_REWRITE_DELAY = Duration.ofMillis(1_200);

    /** From a new era until all records are there again. */
    private static final Duration REREAD_DELAY = Duration.ofMillis(1_600);

    private static final Duration MAX_EXTRA_REREAD_DELAY = Duration.ofMillis(400);

    /** Told this node's place and all nodes. */
    @FunctionalInterface
    public interface Listener {
        /** Called once the record stands in the store, and after each new era. */
        void onMembers(StorePosition rank, List<NodeEntry> entries);
    }

    private final StateStore mStore;
    private final StateDecoder mDecoder;
    private final ScheduledExecutorService mLoop;
    private final EventLog mLog;
    private final RandomGenerator mRandom;
    private final String mNode;
    private final InetSocketAddress mAddress;
    private final Listener mListener;
    private Optional<StorePosition> mRank = Optional.empty();
    private long mGeneration;

    private NodeRegistrar(
            StateStore store,
            StateDecoder decoder,
            ScheduledExecutorService loop,
            EventLog log,
            RandomGenerator random,
            String node,
            InetSocketAddress address,
            Listener listener) {
        mStore = store;
        mDecoder = decoder;
        mLoop = loop;
        mLog = log;
        mRandom = random;
        mNode = node;
        mAddress = address;
        mListener = listener;
    }

    /** Returns an announcer that has not begun. */
    public static NodeRegistrar create(
            StateStore store,
            StateDecoder decoder,
            ScheduledExecutorService loop,
            EventLog log,
            RandomGenerator random,
            String node,
            InetSocketAddress address,
            Listener listener) {
        return new NodeRegistrar(store, decoder, loop, log, random, node, address, listener);
    }

    /** Begins to announce the node, and goes on until it is done. */
    public void start() {
        write(mGeneration, NodeRecord.first(mAddress));
    }

    /** Writes the record again, and then reads who is there, each at a moment of its own. */
    public void onNewEra() {
        if (mRank.isEmpty()) {
            return;
        }
        long generation = ++mGeneration;
        NodeRecord record = NodeRecord.again(mAddress, mRank.get());
        scheduleGuarded(
                generation, randomDelay(MAX_REWRITE_DELAY), () -> write(generation, record));
        scheduleRead(generation);
    }

    private Duration randomDelay(Duration max) {
        return Duration.ofNanos(mRandom.nextLong(max.toNanos()));
    }

    private void write(long generation, NodeRecord record) {
        mStore.registerNode(mNode, record)
                .whenComplete(
                        (assigned, failure) -> {
                            if (failure != null) {
                                scheduleGuarded(
                                        generation, RETRY_DELAY, () -> write(generation, record));
                            } else if (mRank.isEmpty()) {
                                mRank = Optional.of(assigned);
                                read(generation);
                                if (assigned.era() > 0) {
                                    // Others' records may just be missing from a copy.
                                    scheduleRead(generation);
                                }
                            }
                        });
    }

    private void scheduleRead(long generation) {
        scheduleGuarded(
                generation,
                REREAD_DELAY.plus(randomDelay(MAX_EXTRA_REREAD_DELAY)),
                () -> read(generation));
    }

    private void read(long generation) {
        mStore.newest(StateTopic.NODES)
                .whenComplete(
                        (page, failure) -> {
                            if (failure == null) {
                                mListener.onMembers(mRank.orElseThrow(), decode(page));
                            } else {
                                scheduleGuarded(generation, RETRY_DELAY, () -> read(generation));
                            }
                        });
    }

    /** What a newer era has made needless is not done any more. */
    private void scheduleGuarded(long generation, Duration delay, Runnable task) {
        Runnable guarded =
                () -> {
                    if (generation == mGeneration) {
                        task.run();
                    }
                };
        mLoop.schedule(guarded, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private List<NodeEntry> decode(StateStore.Page page) {
        List<NodeEntry> entries = new ArrayList<>();
        for (var record : page.records()) {
            try {
                NodeRecord node = mDecoder.node(record.value().orElseThrow());
                StorePosition rank = node.rank().orElse(record.position());
                entries.add(new NodeEntry(record.key(), node.address(), rank));
            } catch (StateDecoder.UnusableRecordException e) {
                mLog.change("node-unusable")
                        .with("key", record.key())
                        .with("reason", e.getMessage())
                        .write();
            }
        }
        return entries;
    }
}
