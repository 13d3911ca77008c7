package org.fescueport.internal.direct.state;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.fescueport.internal.decision.FailureDomain;
import org.fescueport.internal.direct.log.EventLog;

/**
 * Writes this node's record to the store, and reads which nodes registered before it.
 *
 * <p>A store that was restored from a backup may have lost the record, so it is written again. The
 * record then contains the rank that the first one got, and the node keeps it: a rank is an era and
 * an offset within it, and this pair is assigned only once. Not thread-safe; used only on the event
 * loop.
 */
public final class NodeRegistrar {
    private static final Duration RETRY_DELAY = Duration.ofMillis(1_000);

    /**
     * All nodes write again within this time, spread randomly, to avoid a burst of calls to the
     * store.
     */
    private static final Duration MAX_REWRITE_DELAY = Duration.ofMillis(1_200);

    /** Time from the start of a new era until all nodes have written their records again. */
    private static final Duration REREAD_DELAY = Duration.ofMillis(1_600);

    private static final Duration MAX_EXTRA_REREAD_DELAY = Duration.ofMillis(400);

    /** Receives this node's rank and the list of all nodes. */
    @FunctionalInterface
    public interface Listener {
        /** Called when the record has been written, and whenever the list has been read again. */
        void onMembers(StorePosition rank, List<NodeEntry> entries);
    }

    private final StateStore mStore;
    private final StateDecoder mDecoder;
    private final ScheduledExecutorService mLoop;
    private final UnusableEntries mUnusable;
    private final RandomGenerator mRandom;
    private final String mNode;
    private final InetSocketAddress mAddress;
    private final FailureDomain mDomain;
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
            FailureDomain domain,
            Listener listener) {
        mStore = store;
        mDecoder = decoder;
        mLoop = loop;
        mUnusable = new UnusableEntries(log, "node-unusable", "key");
        mRandom = random;
        mNode = node;
        mAddress = address;
        mDomain = domain;
        mListener = listener;
    }

    /** Returns a registrar that has not been started. */
    public static NodeRegistrar create(
            StateStore store,
            StateDecoder decoder,
            ScheduledExecutorService loop,
            EventLog log,
            RandomGenerator random,
            String node,
            InetSocketAddress address,
            FailureDomain domain,
            Listener listener) {
        return new NodeRegistrar(
                store, decoder, loop, log, random, node, address, domain, listener);
    }

    /** Starts to register the node; failed attempts are retried until one succeeds. */
    public void start() {
        write(mGeneration, NodeRecord.first(mAddress, mDomain));
    }

    /** Reads the list of nodes again, because none of those known can be relied on. */
    public void refresh() {
        if (mRank.isPresent()) {
            read(mGeneration);
        }
    }

    /** Writes the record again and then reads the other nodes, both after random delays. */
    public void onNewEra() {
        if (mRank.isEmpty()) {
            return;
        }
        long generation = ++mGeneration;
        NodeRecord record = NodeRecord.again(mAddress, mDomain, mRank.get());
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
                                    // The records of other nodes may be missing after a restore;
                                    // read them again later.
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

    /** Schedules a task that is skipped if a newer era has made it obsolete. */
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
                entries.add(new NodeEntry(record.key(), node.address(), node.domain(), rank));
                mUnusable.remove(record);
            } catch (StateDecoder.UnusableRecordException | RuntimeException e) {
                mUnusable.add(record, e);
            }
        }
        return entries;
    }
}
