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
public final class Announcer {
    private static final Duration RETRY = Duration.ofMillis(1_000);

    /** All nodes write again within this time, so that the store is not met by all at once. */
    private static final Duration REWRITE_SPREAD = Duration.ofMillis(1_200);

    /** From a new era until all records are there again. */
    private static final Duration REREAD_AFTER = Duration.ofMillis(1_600);

    private static final Duration REREAD_SPREAD = Duration.ofMillis(400);

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
    private long mTurn;

    private Announcer(
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
    public static Announcer create(
            StateStore store,
            StateDecoder decoder,
            ScheduledExecutorService loop,
            EventLog log,
            RandomGenerator random,
            String node,
            InetSocketAddress address,
            Listener listener) {
        return new Announcer(store, decoder, loop, log, random, node, address, listener);
    }

    /** Begins to announce the node, and goes on until it is done. */
    public void start() {
        write(mTurn, NodeRecord.first(mAddress));
    }

    /** Writes the record again, and then reads who is there, each at a moment of its own. */
    public void onNewEra() {
        if (mRank.isEmpty()) {
            return;
        }
        long turn = ++mTurn;
        NodeRecord record = NodeRecord.again(mAddress, mRank.get());
        later(turn, spread(REWRITE_SPREAD), () -> write(turn, record));
        readLater(turn);
    }

    private Duration spread(Duration most) {
        return Duration.ofNanos(mRandom.nextLong(most.toNanos()));
    }

    private void write(long turn, NodeRecord record) {
        mStore.announce(mNode, record)
                .whenComplete(
                        (place, failure) -> {
                            if (failure != null) {
                                later(turn, RETRY, () -> write(turn, record));
                            } else if (mRank.isEmpty()) {
                                mRank = Optional.of(place);
                                read(turn);
                                if (place.era() > 0) {
                                    // Others' records may just be missing from a copy.
                                    readLater(turn);
                                }
                            }
                        });
    }

    private void readLater(long turn) {
        later(turn, REREAD_AFTER.plus(spread(REREAD_SPREAD)), () -> read(turn));
    }

    private void read(long turn) {
        mStore.newest(StateTopic.NODES)
                .whenComplete(
                        (page, failure) -> {
                            if (failure == null) {
                                mListener.onMembers(mRank.orElseThrow(), decode(page));
                            } else {
                                later(turn, RETRY, () -> read(turn));
                            }
                        });
    }

    /** What a newer era has made needless is not done any more. */
    private void later(long turn, Duration pause, Runnable task) {
        Runnable guarded =
                () -> {
                    if (turn == mTurn) {
                        task.run();
                    }
                };
        mLoop.schedule(guarded, pause.toNanos(), TimeUnit.NANOSECONDS);
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
